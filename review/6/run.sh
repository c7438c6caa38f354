#!/bin/sh
# Writes what was sent, answered and run to record.txt in this folder. Exits with 1 if the rule was broken, 0 if it
# held, 2 if the case couldn't run. TROUBLE=0: the same without the disruption. Ends all processes that it started,
# after 110 s at the latest. See claim.txt.
folder=$(cd "$(dirname "$0")" && pwd) || exit 2
cd "$folder/../.." || exit 2
program=target/review-2/case-6
[ -x "$program" ] && [ -x target/review-2/host ] || exit 2
"$program" "$folder/record.txt"
status=$?
[ "$status" -le 2 ] || status=2
exit "$status"
