#!/usr/bin/env bash
# Plays the case; see claim.txt. Exits with 1 if the rule was broken, with 0 if it held, and with 2 if the
# case could not run. TROUBLE=0 leaves out the outage of the store and the kill of the nodes; the late heartbeat stays.
cd "$(dirname "$0")/../.." || exit 2
trouble=${TROUBLE:-1}
program=target/review-3/review-3
[ -x "$program" ] && [ -x target/release/snipehollow-platform ] || exit 2
code=0
"$program" unsaved-departure review/13 "$trouble" || code=$?
[ "$code" -le 1 ] || code=2
exit "$code"
