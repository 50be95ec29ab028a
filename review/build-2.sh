#!/bin/sh
# Builds the stand-ins of the scripted cases 4, 6, 7 and 8. Run it after the build of deploy/system.toml.
set -e
cd "$(dirname "$0")/stand-2"
GOWORK=off go test -c -o bin/stand2 .
