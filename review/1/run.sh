#!/bin/sh
# Plays the case; TROUBLE=0 leaves out the disruption. Exit status: 1 the rule was broken, 0 it held, 2 it could not run.
cd "$(dirname "$0")/../.." || exit 2
if [ ! -x bin/cherrytrestle ] || [ ! -x bin/review-standin ]; then
	echo "build the deploy file's programs, then review/build.sh" >&2
	exit 2
fi
exec bin/review-standin effects review/1/record.txt
