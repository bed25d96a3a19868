#!/bin/sh
# A site is cut off for 6 s; an attempt that was given up must not come to its worker after the workers have forgotten its label.
# Exits with 1 if the rule was broken, 0 if it held, and 2 if the case could not run. TROUBLE=0 leaves the disruption out.
cd "$(dirname "$0")/../.." || exit 2
[ -x review/bin/stand ] && [ -x bin/scalechute ] || { echo "build first: the deploy file's build, and review/build-2.sh"; exit 2; }
exec review/bin/stand remainder review/6/record.txt
