#!/usr/bin/env bash
# Checks formatting, runs vet and the linter, builds everything and runs all tests with the race detector.
# Fixed seeds: each package with rapid tests sets rapid.seed in an init function of its tests.
set -euo pipefail
cd "$(dirname "$0")/.."
export GOFLAGS="${GOFLAGS:-} -buildvcs=false"

step() { printf '== %s\n' "$1"; }

step 'known red'
cat KNOWN-RED.txt
step format
unformatted=$(git ls-files '*.go' | xargs -r gofmt -l)
if [ -n "$unformatted" ]; then
	printf 'gofmt would change:\n%s\n' "$unformatted"
	exit 1
fi
step vet
go vet work
step lint
packages=$(go list work | grep -v '^rosemaryline.dev/tools')
go tool staticcheck $packages
step build
go build work
step test
go test -race -count=1 -timeout 8m $packages
