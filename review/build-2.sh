#!/usr/bin/env bash
# Builds the stand-ins of the second review's scripts. The project's programs are built by the deploy file.
set -euo pipefail
cd "$(dirname "$0")/.."
go build -o target/review-2 review/standin-2/*.go
