#!/usr/bin/env bash
# Runs the tests. Those in KNOWN-RED.txt run first, are printed, and fail nothing.
set -euo pipefail
cd "$(dirname "$0")/.."
build=${1:-build}
red=$(sed -n 's/^test: //p' KNOWN-RED.txt 2>/dev/null | paste -sd '|' || true)
if [ -n "$red" ]; then
  echo "Known red, see KNOWN-RED.txt; these fail nothing:"
  ctest --test-dir "$build" -j 4 -R "^($red)\$" || true
fi
ctest --test-dir "$build" --output-on-failure -j 4 ${red:+-E "^($red)\$"}
