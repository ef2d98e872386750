#!/usr/bin/env bash
# A controller is replaced by an empty one, after the seeds were exchanged; then two controllers lose their disks. TROUBLE=0
# leaves out all, TROUBLE=fault the seeds and the replacement.
cd "$(dirname "$0")/../.." || exit 2
[ -x target/greengagelockd ] && [ -x target/review-standin ] || exit 2
exec target/review-standin seeds target/greengagelockd review/2/record.txt
