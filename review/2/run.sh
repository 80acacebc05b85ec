#!/bin/sh
# Case 2. Exit status: 1 if the rule was broken, 0 if it held, 2 if the case could not run.
# TROUBLE=0 does the same without the disruption.
cd "$(dirname "$0")/../.." || exit 2
command=$(sed -n 's/^run = "\(.*\)"/\1/p' deploy/system.toml | head -n 1)
[ -n "$command" ] && [ -x target/review/cassiatray-review ] || exit 2
exec target/review/cassiatray-review route-refused-after-crash review/2/record.txt "${TROUBLE:-1}" $command
