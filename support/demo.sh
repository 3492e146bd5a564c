#!/usr/bin/env bash
# Runs the whole path on loopback: two daemons, an engine and the platform.
set -euo pipefail
cd "$(dirname "$0")/.."
build=${1:-build}
. support/trial.sh

echo "demo: starting the platform, an engine and two daemons; logs in $logs"
start fakes fulmar-fakes --platform-port 18090 --engine-port 18080
start_vm 1 2
start_vm 2 1
echo "demo: applying ticket 1"
apply_demo
wait_ready 18100 18200

echo "demo: one streamed completion, nine plain ones and a batch of 20"
"$build/fulmar-load" --caller 127.0.0.1:18100 --caller 127.0.0.1:18200 \
  --requests 10 --streams 1 --no-repeat 2 --items 20 \
  --engine 127.0.0.1:18080 --name demo || {
  tail -n 30 "$logs"/*.log >&2
  exit 1
}

echo "demo: auditing the order of service"
sleep 6
"$build/fulmar-audit" --platform=http://127.0.0.1:18090
