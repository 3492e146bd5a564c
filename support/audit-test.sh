#!/usr/bin/env bash
# Audits exported segments as an operator would: clean, tampered, misused.
set -euo pipefail
audit=$1
cost=$2
folder=$(mktemp -d)
trap 'rm -rf "$folder"' EXIT

expect() {
  local expected=$1 code=0
  shift
  "$@" >"$folder/out" 2>&1 || code=$?
  if [ "$code" != "$expected" ]; then
    echo "expected $expected, got $code: $*"
    cat "$folder/out"
    exit 1
  fi
}

"$cost" --records 3000 --export "$folder/store" >/dev/null
expect 0 "$audit" "$folder/store"
head=$(sed -n 's/^head: //p' "$folder/out")
expect 0 "$audit" "$folder/store" --head="$head" --json
grep -q '"verdict":"clean"' "$folder/out"
expect 0 "$audit" why "$folder/store" r-00000000000000000007-00
grep -q 'was admitted to target runner-0' "$folder/out"
expect 1 "$audit" why "$folder/store" no-such-request
zeros=$(printf "0%.0s" {1..64})
expect 1 "$audit" "$folder/store" --head="${head%,*},$zeros"
expect 1 "$audit" --platform=http://127.0.0.1:1
expect 1 "$audit" "$folder"
expect 2 "$audit" "$folder/none"
expect 2 "$audit"
expect 2 "$audit" "$folder/store" --from=noon
expect 2 "$audit" "$folder/store" --head=x

last=$(find "$folder/store" -type f | sort | tail -n 1)
sed -i '3s/runner-0/runner-9/' "$last"
expect 1 "$audit" "$folder/store"
grep -q '^chain_broken: ' "$folder/out"
echo passed
