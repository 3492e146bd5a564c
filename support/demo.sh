#!/usr/bin/env bash
# Runs the whole path on loopback: two daemons, an engine and the platform.
set -euo pipefail
cd "$(dirname "$0")/.."
build=${1:-build}
logs=$(mktemp -d)
pids=()
stop_all() {
  local i
  for ((i = ${#pids[@]} - 1; i >= 0; --i)); do
    kill "${pids[i]}" 2>/dev/null || true
    wait "${pids[i]}" 2>/dev/null || true
  done
}
trap stop_all EXIT

start() {
  local name=$1
  shift
  "$build/$@" >"$logs/$name.log" 2>&1 &
  pids+=($!)
}

key=demo-operator-key
hash=$(printf %s "$key" | sha256sum | cut -d' ' -f1)
common=(--secret demo-secret --platform 127.0.0.1:18090
        --operator-key-hash "$hash" --unready-wait 0s --shutdown-limit 20s)

echo "demo: starting the platform, an engine and two daemons; logs in $logs"
start fakes fulmar-fakes --platform-port 18090 --engine-port 18100
start vm1 fulmard --vm vm1 --caller-port 18000 --operator-port 18001 \
  --peer-port 18002 --seed 127.0.0.1:18012 "${common[@]}"
start vm2 fulmard --vm vm2 --caller-port 18010 --operator-port 18011 \
  --peer-port 18012 --seed 127.0.0.1:18002 "${common[@]}"

operate() {
  "$build/fulmarctl" "$@" --operator 127.0.0.1:18001 --key "$key"
}
for _ in $(seq 50); do
  operate state >/dev/null 2>&1 && break
  sleep 0.1
done
echo "demo: applying ticket 1"
cp -r examples/demo "$logs/declarations"
operate apply "$logs/declarations" --ticket 1

for port in 18000 18010; do
  for _ in $(seq 150); do
    (exec 3<>"/dev/tcp/127.0.0.1/$port" &&
      printf 'GET /readyz HTTP/1.0\r\n\r\n' >&3 &&
      grep -q ' 200 ' <(head -1 <&3)) 2>/dev/null && break
    sleep 0.1
  done
done

echo "demo: one streamed completion, nine plain ones and a batch of 20"
"$build/fulmar-load" --caller 127.0.0.1:18000 --caller 127.0.0.1:18010 \
  --requests 10 --streams 1 --items 20 --name demo || {
  tail -n 30 "$logs"/*.log >&2
  exit 1
}
