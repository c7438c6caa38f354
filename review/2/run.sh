#!/bin/sh
# Writes what was sent, answered and run to record.txt in this folder. Exits with 1 if the rule was broken, 0 if it
# held, 2 if the case couldn't run. TROUBLE=0: the same without the disruption. Ends all processes that it started.
folder=$(cd "$(dirname "$0")" && pwd) || exit 2
root=$(cd "$folder/../.." && pwd) || exit 2
cd "$root" || exit 2
run=$(sed -n 's/^run = "\(.*\)"$/\1/p' deploy/balancer.toml)
case_program="target/review/case-$(basename "$folder")"
[ -n "$run" ] && [ -x "$case_program" ] || exit 2
"$case_program" "$root" "$folder/record.txt" "$run"
status=$?
[ "$status" -le 2 ] || status=2
exit "$status"
