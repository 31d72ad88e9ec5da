#!/usr/bin/env bash
# Builds the program of each case into its folder. Needs g++ only.
set -euo pipefail
cd "$(dirname "$0")"
for source in [1-3]/main.cpp; do
  g++ -std=c++20 -O1 -Wall -Wextra -pthread -o "$(dirname "$source")/case" "$source"
done
