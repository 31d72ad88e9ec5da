#!/bin/bash
# Builds the programs of the cases 4 to 8 with the stand-ins that they share, the
# project's own included, into target/review-2/. Run after the build of
# deploy/system.toml.
set -euo pipefail
cd "$(dirname "$0")/.."
out=target/review-2
mkdir -p "$out"
compile() {
  g++ -std=c++20 -O1 -Wall -Wextra -I. -Isrc -Itarget/generated -c "$1" -o "$2"
}
pids=()
shared=()
for source in review/standin-2/*.cpp platform/standin/http_service.cc; do
  object=$out/$(basename "${source%.*}").o
  shared+=("$object")
  compile "$source" "$object" &
  pids+=($!)
done
for n in 4 5 6 7 8; do
  compile "review/$n/case.cpp" "$out/case-$n.o" &
  pids+=($!)
done
for pid in "${pids[@]}"; do wait "$pid"; done
for n in 4 5 6 7 8; do
  g++ "$out/case-$n.o" "${shared[@]}" -o "$out/case-$n" \
    target/libyuccawick_gateway.a target/libyuccawick_core.a \
    -lhttp_parser -lxxhash -lPocoJSON -lPocoFoundation -lpthread
done
