#!/bin/sh
# Plays the case "reset" and writes record.txt beside this script. Exit code 0: the rule held; 1: it was broken; 2: the case
# could not run. TROUBLE=0 leaves the disruption out.
here=$(cd "$(dirname "$0")" && pwd) || exit 2
cd "$here/../../../.." || exit 2
[ -x bin/rig-3 ] && [ -x bin/arrowcleat ] || { echo "bin/rig-3 or bin/arrowcleat is missing: build first" >&2; exit 2; }
exec bin/rig-3 reset --dir "$here"
