#!/usr/bin/env bash
# Case 8: a late heartbeat brings back a target whose departure was acknowledged. TROUBLE=0 leaves the kill out.
cd "$(dirname "$0")/../.." || exit 2
[ -x target/rosemarylined ] && [ -x target/review-2/harness ] || { echo "build first: the deploy file's build, then review/build-2.sh"; exit 2; }
exec target/review-2/harness late-heartbeat review/8/record.txt
