#!/usr/bin/env bash
# Builds the stand-ins and clients of the cases into target/review/, one program a case.
set -euo pipefail
cd "$(dirname "$0")/.."
mkdir -p target/review
for source in review/[1-5]/*.cc; do
  [ -e "$source" ] || continue
  program=target/review/$(basename "$(dirname "$source")")
  g++ -std=c++20 -O1 -Wall -Wextra -Wno-missing-field-initializers -I. \
    "$source" review/stand_ins.cc -o "$program" -pthread &
done
wait
