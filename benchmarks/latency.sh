#!/usr/bin/env bash
# Prints the latency that the path through entry and agent adds over a direct call to the upstream
# stand-in, as a Markdown table. Both are measured in the same run, one after the other, three times.
#   benchmarks/latency.sh [SECONDS] [SEED]     SECONDS of each part, default 8
# Needs berylbarrow, berylbarrow-platform, berylbarrow-upstream and berylbarrow-load in the build
# folder, and the ports of examples/solano.
set -euo pipefail
cd "$(dirname "$0")/.."
build=${BERYLBARROW_BUILD:-build}
seconds=${1:-8}
seed=${2:-1}
rounds=${ROUNDS:-3}
folder=$(mktemp -d)
trap 'tools/fleet.sh stop "$folder"; rm -rf "$folder"' EXIT

UPSTREAM_MODEL="--first-token-ms 20 --token-ms 5" UPSTREAM_PLAIN="--service-ms 1" \
  tools/fleet.sh start examples/solano/document.yaml "$folder" >"$folder/start.log" 2>&1 || {
  cat "$folder/start.log" >&2
  exit 1
}
sleep 3 # the agents announce their grants

load() { # OPTIONS...
  "$build/berylbarrow-load" --draft-service drafting --model draft --plain-service payments \
    --payment-path /payments --accounts counter-san-jose,counter-heredia,counter-limon \
    --mix 4,3,1 --connections 8 --rate 40 --seconds "$seconds" --max-tokens 20 --seed "$seed" "$@"
}

entries=$(seq -s, -f '127.0.0.1:2100%g' 1 8)
echo
echo "### Added latency: first byte in ms, $seconds s at 40 calls/s, seed $seed"
echo
echo "| round | calls | direct p50 | direct p99 | through p50 | through p99 | added p50 | added p99 |"
echo "|---|---|---|---|---|---|---|---|"
for round in $(seq "$rounds"); do
  load --direct 127.0.0.1:23201 --direct-plain 127.0.0.1:23251 >"$folder/direct"
  load --entries "$entries" >"$folder/through" || echo "latency: round $round has wrong or incomplete answers" >&2
  for kind in drafts lookups payments; do
    paste <(grep "^$kind " "$folder/direct") <(grep "^$kind " "$folder/through") |
      awk -v round="$round" '{
        printf "| %d | %s | %.1f | %.1f | %.1f | %.1f | %.1f | %.1f |\n", round, $1,
          $10, $12, $23, $25, $23 - $10, $25 - $12 }'
  done
done
