#!/usr/bin/env bash
# Two controllers are replaced as planned; then two controllers lose their disks. TROUBLE=0 leaves out both, TROUBLE=fault
# only the replacements.
cd "$(dirname "$0")/../.." || exit 2
[ -x target/greengagelockd ] && [ -x target/review-standin ] || exit 2
exec target/review-standin planned target/greengagelockd review/1/record.txt
