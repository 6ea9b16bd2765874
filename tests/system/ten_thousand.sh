#!/usr/bin/env bash
# 10,000 requests through the 8 entries and 19 agents of the Solano example; every answer must be
# whole and match its request, and the ledgers must agree. Guards against an answer that is lost,
# truncated or given to another caller under load.
set -euo pipefail
cd "$(dirname "$0")/../.."
build=${BERYLBARROW_BUILD:-build}
export BERYLBARROW_BUILD=$build
export UPSTREAM_MODEL="--first-token-ms 5 --token-ms 1" UPSTREAM_PLAIN="--service-ms 1"
folder=$(mktemp -d)
trap 'tools/fleet.sh stop "$folder"; rm -rf "$folder"' EXIT

# The ports of the example are fixed and another run may hold them for some seconds.
for attempt in 1 2 3 4 5; do
  tools/fleet.sh start examples/solano/document.yaml "$folder" && break
  tools/fleet.sh stop "$folder"
  [ "$attempt" = 5 ] && exit 1
  sleep 5
done

entries=$(seq -s, -f '127.0.0.1:2100%g' 1 8)
accounts=$(awk '/^accounts:/ { on = 1 } on && $2 == "name:" { printf "%s%s", (n++ ? "," : ""), $3 }' \
  examples/solano/document.yaml)
"$build/berylbarrow-load" --entries "$entries" --accounts "$accounts" \
  --draft-service drafting --model draft --lookup-path /status --payment-path /payments \
  --ledgers 127.0.0.1:23251,127.0.0.1:23252,127.0.0.1:23253 \
  --mix 6,3,1 --connections 20 --rate 400 --seconds 27 --max-tokens 8 --seed 1 | tee "$folder/table"
awk '$1 == "all" { found = 1; if ($2 < 10000 || $3 != $2) exit 1 } END { if (!found) exit 1 }' \
  "$folder/table" || { echo "not all of 10,000 answers are whole" >&2; exit 1; }
grep -q "ledger: 0 payments ran twice, 0 refused as not run but ran, 0 answered but not recorded" \
  "$folder/table"
