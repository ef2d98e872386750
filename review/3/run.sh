#!/usr/bin/env bash
# A controller loses its disk while the processes of all three are killed; later another one loses its disk. TROUBLE=0
# leaves out both, TROUBLE=fault the first.
cd "$(dirname "$0")/../.." || exit 2
[ -x target/greengagelockd ] && [ -x target/review-standin ] || exit 2
exec target/review-standin names target/greengagelockd review/3/record.txt
