#!/usr/bin/env bash
# Builds the stand-ins and clients of the scripts in review/11 to review/15, into
# target/review-3/. Run it after the build command of deploy/system.toml.
set -euo pipefail
cd "$(dirname "$0")/.."
cmake -G Ninja -S review/standins-3 -B target/review-3 \
  -DCMAKE_BUILD_TYPE=Release >/dev/null
ninja -C target/review-3
