#!/usr/bin/env bash
# Rule QUOTA: a daemon that has no configuration yet grants requests without limit.
# Exits with 1 if the rule was broken, 0 if it held, 2 if the case could not run. TROUBLE=0 leaves out
# the disruption. Run it after the build of deploy/system.toml and review/build.sh.
set -uo pipefail
cd "$(dirname "$0")/../.."
exec env CASE=restart OUT=review/3 ROOT=. target/review/stand
