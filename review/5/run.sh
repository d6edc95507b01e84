#!/bin/sh
# Exits with 1 if the rule was broken, 0 if it held, 2 if the case couldn't run. TROUBLE=0 leaves out
# the disruption. Needs the build of the deploy file and review/build.sh.
cd "$(dirname "$0")/../.." || exit 2
program=target/review/release/review-standin
[ -x "$program" ] && [ -x target/release/hemlock-platform ] || exit 2
exec "$program" case foreign review/5
