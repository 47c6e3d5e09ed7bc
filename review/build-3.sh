#!/usr/bin/env bash
# Builds every stand-in that the scripts of the cases 11 to 15 start: those of review/kit3 and
# the project's own. The nodes come from the build of the deploy file.
set -euo pipefail
cd "$(dirname "$0")/.."
mkdir -p review/kit3/bin
go build -o review/kit3/bin/vtstandin ./cmd/vtstandin
cd review/kit3
go build -o bin/standins3 .
