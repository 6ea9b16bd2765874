#!/usr/bin/env bash
# Prints memory and CPU time of the idle entries and agents of examples/solano as a Markdown table.
#   benchmarks/idle.sh [SECONDS]     default 20
set -euo pipefail
cd "$(dirname "$0")/.."
seconds=${1:-20}
folder=$(mktemp -d)
trap 'tools/fleet.sh stop "$folder"; rm -rf "$folder"' EXIT
tools/fleet.sh start examples/solano/document.yaml "$folder" >"$folder/start.log" 2>&1 || {
  cat "$folder/start.log" >&2
  exit 1
}
sleep 3

ticks=$(getconf CLK_TCK)
sample() { # prints "NAME TICKS" for every entry and agent
  while read -r name pid; do
    case $name in platform | *-upstream) continue ;; esac
    echo "$name $(awk '{ print $14 + $15 }' "/proc/$pid/stat")"
  done <"$folder/pids"
}
sample >"$folder/before"
sleep "$seconds"
sample >"$folder/after"
echo
echo "### Idle processes of examples/solano over $seconds s"
echo
echo "| role | processes | CPU % mean | CPU % highest | resident MB mean | resident MB highest | threads |"
echo "|---|---|---|---|---|---|---|"
for role in entry agent; do
  join <(sort "$folder/before") <(sort "$folder/after") |
    while read -r name before after; do
      case $name in entry-*) kind=entry ;; *) kind=agent ;; esac
      [ "$kind" = "$role" ] || continue
      pid=$(awk -v name="$name" '$1 == name { print $2 }' "$folder/pids")
      echo "$((after - before)) $(awk '/^VmRSS/ { print $2 }' "/proc/$pid/status") $(awk '/^Threads/ { print $2 }' "/proc/$pid/status")"
    done |
    awk -v role="$role" -v seconds="$seconds" -v ticks="$ticks" '
      { cpu = 100 * $1 / ticks / seconds; sum += cpu; if (cpu > top) top = cpu
        mb += $2 / 1024; if ($2 / 1024 > topmb) topmb = $2 / 1024; threads = $3; n++ }
      END { printf "| %s | %d | %.2f | %.2f | %.1f | %.1f | %d |\n", role, n, sum / n, top, mb / n, topmb, threads }'
done
