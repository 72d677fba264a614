#!/usr/bin/env bash
# Builds what the scripts of review/11 to review/13 start beside the daemon. Run the build of deploy/system.toml first.
set -euo pipefail
cd "$(dirname "$0")/.."
mkdir -p target
cd review/harness-3
GOWORK=off GOFLAGS=-mod=mod GOPROXY=off go build -buildvcs=false -o ../../target/review3 .
