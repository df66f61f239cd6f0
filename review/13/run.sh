#!/bin/sh
# Runs case 13; see claim.txt. Needs the build of the deploy file and review/build-3.sh.
cd "$(dirname "$0")/../.." || exit 2
[ -x target/release/sesamelock ] && [ -x target/review-3/case-13 ] || exit 2
exec target/review-3/case-13 review/13/record.txt
