# Functions for trials on loopback; sourced by the scripts beside it.
# Needs `build`, the folder of the programs.

logs=$(mktemp -d)
pids=()
operator_key=demo-operator-key
operator_hash=$(printf %s "$operator_key" | sha256sum | cut -d' ' -f1)

stop_all() {
  local i
  for ((i = ${#pids[@]} - 1; i >= 0; --i)); do
    kill "${pids[i]}" 2>/dev/null || true
    wait "${pids[i]}" 2>/dev/null || true
  done
}
trap stop_all EXIT

# start NAME PROGRAM ARGUMENT...: runs a program and keeps its log.
start() {
  local name=$1
  shift
  "$build/$@" >"$logs/$name.log" 2>&1 &
  pids+=($!)
}

# start_vm N SEED: runs daemon N on ports 18N00 to 18N02.
start_vm() {
  start "vm$1" fulmard --vm "vm$1" --caller-port "18${1}00" \
    --operator-port "18${1}01" --peer-port "18${1}02" \
    --seed "127.0.0.1:18${2}02" --secret trial-secret \
    --platform 127.0.0.1:18090 --operator-key-hash "$operator_hash" \
    --unready-wait 0s --shutdown-limit 20s
}

operate() {
  "$build/fulmarctl" "$@" --operator 127.0.0.1:18101 --key "$operator_key"
}

# apply_demo: applies the demo's declarations as ticket 1.
apply_demo() {
  for _ in $(seq 100); do
    operate state >/dev/null 2>&1 && break
    sleep 0.1
  done
  cp -r examples/demo "$logs/declarations"
  sed -i 's/18100/18080/' "$logs/declarations/fleet.json"
  operate apply "$logs/declarations" --ticket 1
}

# wait_ready PORT...: waits until each daemon takes callers.
wait_ready() {
  local port
  for port in "$@"; do
    for _ in $(seq 150); do
      (exec 3<>"/dev/tcp/127.0.0.1/$port" &&
        printf 'GET /readyz HTTP/1.0\r\n\r\n' >&3 &&
        grep -q ' 200 ' <(head -1 <&3)) 2>/dev/null && break
      sleep 0.1
    done
  done
}
