#!/bin/sh
# One answer of the workers in eight is a value that is said to have 2 MB and keeps coming; the sentry has to keep its memory limit.
# Exits with 1 if the rule was broken, 0 if it held, and 2 if the case could not run. TROUBLE=0 leaves the disruption out.
cd "$(dirname "$0")/../.." || exit 2
[ -x review/bin/stand ] && [ -x bin/scalechute ] || { echo "build first: the deploy file's build, and review/build-2.sh"; exit 2; }
exec review/bin/stand oversize review/9/record.txt
