#!/usr/bin/env bash
# Builds the stand-ins of the cases 11 to 15 that have a script, into target/. Needs the packages of
# deploy/system.toml only.
set -euo pipefail
cd "$(dirname "$0")/.."
mkdir -p target/review-3
for source in review/1[1-5]/case.cc; do
  [ -e "$source" ] || continue
  number=$(basename "$(dirname "$source")")
  g++ -std=c++20 -O1 "$source" review/stand_ins_3.cc -o "target/review-3/case-$number" -pthread
done
