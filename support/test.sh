#!/usr/bin/env bash
# support/test.sh BUILD [run|skip]: runs the tests. Those in KNOWN-RED.txt run
# first, are printed and fail nothing; they can be skipped.
set -euo pipefail
cd "$(dirname "$0")/.."
build=${1:-build}
known_red=${2:-run}
red=$(sed -n 's/^test: //p' KNOWN-RED.txt 2>/dev/null | paste -sd '|' || true)
if [ -n "$red" ] && [ "$known_red" = run ]; then
  echo "Known red, see KNOWN-RED.txt; these fail nothing:"
  ctest --test-dir "$build" -j 4 -R "^($red)\$" || true
fi
ctest --test-dir "$build" --output-on-failure -j 4 ${red:+-E "^($red)\$"}
