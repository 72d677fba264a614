#!/bin/bash
# Builds the stand-ins of all script cases into review/bin. They use the standard library only.
set -e
cd "$(dirname "$0")/harness"
GOWORK=off GOFLAGS=-buildvcs=false go build -o ../bin/cases .
