#!/bin/sh
# Case 10: plays "kill" of review/standin2. Exit code 1: the rule was broken; 0: it held; 2: the
# case could not run. TROUBLE=0 leaves the disruption out.
here=$(cd "$(dirname "$0")" && pwd)
root=$(cd "$here/../.." && pwd)
program="$here/../standin2/bin/case"
if [ ! -x "$program" ] || [ ! -x "$root/bin/dewhill" ]; then
    echo "build first: the deploy file's build, then review/build-2.sh" >&2
    exit 2
fi
exec "$program" kill "$root" "$here"
