#!/bin/sh
# Plays the case. Build first: the build line of deploy/system.toml, then review/build-2.sh.
# Exits with 1 if the rule was broken, 0 if it held, 2 if the case could not run. TROUBLE=0 leaves
# the disruption out.
cd "$(dirname "$0")/../.." || exit 2
if ! test -x target/camphorroad || ! test -x review/stand-2/bin/stand2; then
	echo "build first: see review/build-2.sh" >&2
	exit 2
fi
exec review/stand-2/bin/stand2 former review/7/record.txt
