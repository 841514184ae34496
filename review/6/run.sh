#!/bin/sh
# Case 6; TROUBLE=0 leaves the disruption out. Exit code 1: the rule was broken, 0: it held, 2: the case could not run.
here=$(cd "$(dirname "$0")" && pwd)
cd "$here/../.." || exit 2
[ -x bin/arrowcleat ] && [ -x bin/review-2/rig-3 ] || exit 2
bin/review-2/rig-3 jump --dir "$here"
code=$?
[ $code -le 1 ] || code=2
exit $code
