#!/bin/sh
# Plays case 5: see claim.txt. With TROUBLE=0 it does the same without the disruption.
# Exit code 1: the rule was broken, 0: it held, 2: the case could not run.
here=$(cd "$(dirname "$0")" && pwd) || exit 2
cd "$here/../.." || exit 2
[ -x target/review-standin ] || { echo "run review/build.sh first"; exit 2; }
exec target/review-standin poison "$here/record.txt"
