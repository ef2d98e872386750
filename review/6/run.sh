#!/usr/bin/env bash
# Plays the case. Exits with 1 if the rule is broken, 0 if it holds, 2 if the case cannot run. TROUBLE=0 leaves the disruption out.
cd "$(dirname "$0")/../.." || exit 2
[ -x target/review-standin-2 ] && [ -x target/greengagelockd ] || exit 2
exec target/review-standin-2 relay-restart target/greengagelockd review/6/record.txt
