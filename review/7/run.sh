#!/bin/sh
# Plays the case and writes record.txt. Exit codes: 1 the rule was broken, 0 it held,
# 2 the case couldn't run. TROUBLE=0 leaves out the disruption. It needs the build of
# the deploy file and review/build-2.sh.
here=$(cd "$(dirname "$0")" && pwd)
cd "$here/../.." || exit 2
[ -x target/cicadahall ] && [ -x target/review-2/bed ] || exit 2
exec target/review-2/bed turnedaway "$here/record.txt"
