#!/bin/sh
# Exits with 1 if the rule was broken, 0 if it held, 2 if the case could not run. TROUBLE=0: without the disruption.
here=$(cd "$(dirname "$0")" && pwd) || exit 2
root=$(cd "$here/../.." && pwd) || exit 2
[ -x "$root/bin/havenproxy" ] && [ -x "$here/../bin/stand" ] || { echo "not built"; exit 2; }
exec "$here/../bin/stand" endless "$root" "$here/record.txt"
