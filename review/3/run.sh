#!/usr/bin/env bash
# A controller loses its disk, and while it is off, the processes of the others are killed and start again; later another
# controller loses its disk. TROUBLE=0 leaves out all, TROUBLE=fault all but the last.
cd "$(dirname "$0")/../.." || exit 2
[ -x target/greengagelockd ] && [ -x target/review-standin ] || exit 2
exec target/review-standin names target/greengagelockd review/3/record.txt
