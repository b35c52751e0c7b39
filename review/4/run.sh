#!/bin/bash
# Exit status 1: the rule was broken, 0: it held, 2: the case could not run. TROUBLE=0 leaves the disruption out.
# What was sent, answered and run is written to record.txt in this folder.
# Needs the build of the deploy file and of review/build-2.sh.
cd "$(dirname "$0")/../.." || exit 2
[ -f target/rowanplank.jar ] && [ -f target/review-2/review2/RemovedTenants.class ] || exit 2
exec java -Xmx512m -cp target/review-2 review2.RemovedTenants review/4/record.txt
