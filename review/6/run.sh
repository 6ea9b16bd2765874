#!/usr/bin/env bash
# Exit code: 1 if a pass began while two ranks had different maps, 0 if none did, 2 if the case
# could not run. TROUBLE=0: without the disruption. TROUBLE=late or kill: with one half of it.
set -uo pipefail
here=$(cd "$(dirname "$0")" && pwd)
cd "$here/../.."
case ${TROUBLE:-1} in
  0) trouble=none ;;
  late | kill) trouble=$TROUBLE ;;
  *) trouble=both ;;
esac
folder=$(mktemp -d)
trap 'rm -rf "$folder"' EXIT
timeout 110 target/review-6 "$folder" "$here/record.txt" "$trouble"
code=$?
case $code in
  0 | 1) exit $code ;;
  *) exit 2 ;;
esac
