#!/usr/bin/env bash
# Runs the formatter, vet and staticcheck, and checks that the programs are linked
# dynamically to the C library.
set -euo pipefail
cd "$(dirname "$0")/.."
fail() { echo "check: $*" >&2; exit 1; }

unformatted=$(gofmt -l .)
[ -z "$unformatted" ] || fail "not formatted: $unformatted"
go vet ./...
go tool staticcheck ./...

out=$(mktemp -d)
trap 'rm -rf "$out"' EXIT
for program in cmd/*/; do
  name=$(basename "$program")
  CGO_ENABLED=1 go build -o "$out/$name" "./$program"
  readelf -d "$out/$name" | grep -q 'NEEDED.*libc\.so' || fail "$name is not linked to the C library"
done
echo "check: formatter, vet, staticcheck and link to the C library passed"
