#!/usr/bin/env bash
# Builds the stand-ins that the scripts of the second review start, into target/. Run from
# anywhere, after the build of the deploy file.
set -euo pipefail
cd "$(dirname "$0")/.."
mkdir -p target
common=(review/deployment.cc review/engine_group.cc review/small_store.cc
  tests/support/loopback_stream.cc src/connection/http/http_parser.cc)
flags=(-std=c++20 -O1 -pthread -Wall -Wextra -Iinclude -Isrc -Itests)
for case in 6 7; do
  g++ "${flags[@]}" -o "target/review-$case" "review/$case/main.cc" "${common[@]}"
done
