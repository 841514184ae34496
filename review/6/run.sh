#!/bin/sh
# Case 6; TROUBLE=0 leaves the disruption out. Exit code 1: the rule was broken, 0: it held, 2: the case could not run.
here=$(cd "$(dirname "$0")" && pwd)
cd "$here/../.." || exit 2
[ -x bin/arrowcleat ] && [ -x bin/review-2/6 ] || exit 2
dir=$(mktemp -d) || exit 2
trouble=true
[ "${TROUBLE:-1}" = 0 ] && trouble=false
bin/review-2/6 -root . -dir "$dir" -record "$here/record.txt" -trouble=$trouble
code=$?
rm -rf "$dir"
[ $code -le 1 ] || code=2
exit $code
