#!/bin/sh
# Builds what the scripts of review/11 to review/15 start beside the programs of deploy/system.toml: the stand-ins and the checks, one program.
set -e
cd "$(dirname "$0")/.."
mkdir -p target
go build -o target/trial3 ./review/trial3
