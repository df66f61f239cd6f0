#!/bin/sh
# Runs case 6; see claim.txt. Needs the build of the deploy file and review/build-2.sh.
cd "$(dirname "$0")/../.." || exit 2
[ -x target/release/sesamelock ] && [ -x target/review-2/case-6 ] || exit 2
exec target/review-2/case-6
