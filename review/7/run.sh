#!/bin/sh
# Plays case 7. Exit status: 0 the rule held, 1 it was broken, 2 the case could not run. TROUBLE=0: without the disruption.
# Before: the build of the deploy file, and review/build-2.sh.
cd "$(dirname "$0")/../.." || exit 2
if [ ! -x bin/review-2 ] || [ ! -x bin/cherrytrestle ]; then
	echo "build first: the deploy file's build, and review/build-2.sh"
	exit 2
fi
exec bin/review-2 -case copiedid -record review/7/record.txt
