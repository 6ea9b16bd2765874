#!/usr/bin/env bash
# Checks guarantees G2 to G9 over fresh random schedules and prints how requests ended per fault.
#   tools/soak.sh SECONDS [SEED]
# Needs the program process.history_test in the folder build. Prints the seed; on a violation also
# the schedule, after dropping every fault that is not needed for it.
set -euo pipefail
cd "$(dirname "$0")/.."
if [ $# -lt 1 ] || [ $# -gt 2 ]; then
  echo "usage: tools/soak.sh SECONDS [SEED]" >&2
  exit 2
fi
export BERYLBARROW_SOAK_SECONDS=$1
if [ $# -eq 2 ]; then
  export BERYLBARROW_SEED=$2
fi
if [ ! -x build/process.history_test ]; then
  echo "tools/soak.sh: build it first: cmake -S . -B build -G Ninja && ninja -C build process.history_test" >&2
  exit 2
fi
exec build/process.history_test --run_test=Soak
