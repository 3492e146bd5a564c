#!/usr/bin/env bash
# Builds the stand-ins of the review's scripts, with packages of the deploy file
# only.
set -euo pipefail
cd "$(dirname "$0")/.."
mkdir -p target/review
objects=()
jobs=()
for source in review/standins/*.cc; do
  object=target/review/$(basename "$source" .cc).o
  objects+=("$object")
  g++ -std=c++20 -O1 -Wall -Wextra -pthread -c "$source" -o "$object" &
  jobs+=($!)
done
for job in "${jobs[@]}"; do wait "$job"; done
g++ -pthread -o target/review/cases "${objects[@]}"
