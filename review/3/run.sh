#!/usr/bin/env bash
# TROUBLE=0 leaves the disruption out. Exit code: 1 the rule was broken, 0 it held, 2 the case couldn't run.
here="$(cd "$(dirname "$0")" && pwd)"
root="$(cd "$here/../.." && pwd)"
[ -x "$root/review/bin/case3" ] || { echo "run review/build.sh first"; exit 2; }
exec timeout -k 5 110 "$root/review/bin/case3" "$root" "$here"
