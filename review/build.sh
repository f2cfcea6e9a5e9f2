#!/usr/bin/env bash
# Builds the stand-ins that the scripts of the review start, with the project's own store stand-in in them.
set -euo pipefail
cd "$(dirname "$0")/.."
mkdir -p target
go build -o target/review-standin review/standin/*.go
