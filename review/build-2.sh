#!/bin/sh
# Builds the stand-ins of the second review's scripts into target/review-2.
set -eu
cd "$(dirname "$0")/.."
mkdir -p target/review-2
go build -o target/review-2/standin2 ./review/standin2
