#!/usr/bin/env bash
# Builds the stand-ins of the second review. The nodes come from the build of the deploy file.
set -euo pipefail
cd "$(dirname "$0")/.."
go build -tags review -o target/review2 ./review/kit2
