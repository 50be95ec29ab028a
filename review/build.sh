#!/usr/bin/env bash
# Builds the stand-ins of all scripts. Run it after the build of deploy/system.toml.
set -euo pipefail
cd "$(dirname "$0")/.."
mkdir -p target/review
go test -C review/stand -c -o ../../target/review/stand .
