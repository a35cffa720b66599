#!/bin/bash
# Runs the case. Exits with 1 if the rule was broken, 0 if it held, 2 if the case
# couldn't run. TROUBLE=0 runs it without the disruption.
cd "$(dirname "$0")/../.." || exit 2
[ -x target/review ] && [ -x target/cicadahall ] || exit 2
exec target/review roll-move target/cicadahall review/2/record.txt
