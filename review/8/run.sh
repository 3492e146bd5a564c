#!/usr/bin/env bash
# Plays the case; TROUBLE=0 leaves out the disruption. Exits with 1 if the rule
# was broken, 0 if it held, and 2 if the case could not run.
set -u
cd "$(dirname "$0")/../.." || exit 2
[ -x target/fulmar-front ] && [ -x target/review-2/review-2 ] || exit 2
timeout -k 5 110 target/review-2/review-2 long-prompts "${FOLDER:-review/8}"
code=$?
[ "$code" -le 1 ] || exit 2
exit "$code"
