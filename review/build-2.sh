#!/usr/bin/env bash
# Builds the stand-ins of the second review. Run it in the repository after the build of the deploy file.
set -eu
cd "$(dirname "$0")/harness-2"
GOWORK=off go build -o ../../target/review-2/harness .
