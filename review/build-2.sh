#!/usr/bin/env bash
# Builds the stand-ins of the cases in review/6 to review/10, after the build of
# the deploy file.
set -euo pipefail
cd "$(dirname "$0")/.."
[ -f target/libfulmarpitch.a ] || {
  echo "build the system first: see deploy/system.toml" >&2
  exit 1
}
cmake -G Ninja -S review/standins-2 -B target/review-2 \
  -DCMAKE_BUILD_TYPE=Release >/dev/null
ninja -C target/review-2 review-2
