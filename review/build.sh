#!/usr/bin/env bash
# Builds the stand-ins of the review's scripts. It needs no network: the module uses
# the standard library only.
set -euo pipefail
cd "$(dirname "$0")/kit"
mkdir -p ../bin
GOFLAGS=-mod=mod GOTOOLCHAIN=local CGO_ENABLED=0 go build -o ../bin/reviewkit .
