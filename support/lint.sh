#!/usr/bin/env bash
# Runs clang-tidy on library, program and test sources, or on the files named.
set -euo pipefail
cd "$(dirname "$0")/.."
build=${1:-build}
shift || true
if [ $# -gt 0 ]; then
  files=("$@")
else
  mapfile -t files < <(git ls-files -co --exclude-standard \
    'src/*.cc' 'platform/*.cc' 'programs/*.cc' 'test/*.cc')
fi
# The time of day may jump: fulmar-front uses it in log lines only.
if grep -n 'event_loop::now()\|system_clock' src/serving/*.cc src/serving/*.h \
  src/online/*.cc src/online/*.h \
  include/fulmarpitch/serving/*.h platform/*.cc platform/*.h \
  programs/fulmar-front.cc | grep -v '^src/serving/event-log.cc:'; then
  echo "the time of day is used outside the log" >&2
  exit 1
fi
printf '%s\n' "${files[@]}" |
  xargs -P "${JOBS:-$(nproc)}" -n 1 clang-tidy --quiet -p "$build" 2>/dev/null
