#!/bin/bash
# Builds the stand-ins of the cases 4 to 8, the project's own included, into
# target/review-2/. Run after the build of deploy/system.toml.
set -euo pipefail
cd "$(dirname "$0")/.."
mkdir -p target/review-2
objects=()
pids=()
for source in review/standin-2/*.cpp platform/standin/http_service.cc; do
  object=target/review-2/$(basename "${source%.*}").o
  objects+=("$object")
  g++ -std=c++20 -O1 -Wall -Wextra -I. -Isrc -Itarget/generated \
    -c "$source" -o "$object" &
  pids+=($!)
done
for pid in "${pids[@]}"; do wait "$pid"; done
g++ "${objects[@]}" -o target/review-2/cases \
  target/libyuccawick_gateway.a target/libyuccawick_core.a \
  -lhttp_parser -lxxhash -lPocoJSON -lPocoFoundation -lpthread
