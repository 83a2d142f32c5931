#!/bin/sh
# A stop cuts off statements that members work on.
# Exits with 1 if the rule was broken, 0 if it held, 2 if the case could not run. TROUBLE=0 leaves the disruption out.
here=$(cd "$(dirname "$0")" && pwd)
root=$(cd "$here/../.." && pwd)
if [ ! -x "$root/target/cactusfork" ] || [ ! -x "$root/review/bin/standin" ]; then
	echo "run the build of deploy/system.toml and review/build.sh first"
	exit 2
fi
exec "$root/review/bin/standin" stop "$root" "$here"
