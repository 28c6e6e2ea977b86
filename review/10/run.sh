#!/bin/sh
# Needs the build of the deploy file and review/build-2.sh. TROUBLE=0 leaves the disruption out.
cd "$(dirname "$0")/../.." || exit 2
[ -x target/review-2/standin-2 ] || exit 2
exec target/review-2/standin-2 wide-step review/10/record.txt
