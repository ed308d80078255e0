#!/bin/sh
# Exits with 1 if the rule was broken, with 0 if it held, and with 2 if the case could not run. TROUBLE=0 leaves the disruption out.
cd "$(dirname "$0")/../.." || exit 2
[ -x target/egretspar ] && [ -x target/review-2 ] || exit 2
exec target/review-2 crashing-after-restarts review/10
