#!/usr/bin/env bash
# Plays this case; see claim.txt. TROUBLE=0 plays it without the disruption.
cd "$(dirname "$0")/../.." || exit 2
[ -x target/release/snipehollow-platform ] && [ -x target/review/standin ] || exit 2
target/review/standin queued review/1/record.txt &
driver=$!
trap 'kill -9 $(pgrep -P $driver) $driver 2>/dev/null; exit 2' INT TERM
wait "$driver"
