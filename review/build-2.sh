#!/usr/bin/env bash
# Builds the stand-in that the cases of the second review start. Run the build of the deploy
# file first.
set -euo pipefail
cd "$(dirname "$0")/second/platform"
mkdir -p ../../../target/review-2
GOWORK=off GOFLAGS=-mod=mod GOPROXY=off go build -o ../../../target/review-2/standin .
