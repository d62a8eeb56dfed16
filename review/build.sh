#!/usr/bin/env bash
# Builds the driver of the cases with its stand-ins. The deploy file's build comes first.
set -euo pipefail
cd "$(dirname "$0")/.."
go build -o target/review-case ./review/casedriver
