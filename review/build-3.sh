#!/usr/bin/env bash
# Builds the stand-ins of the cases of the third review, after the build of the deploy file. They
# use the standard library only.
set -euo pipefail
cd "$(dirname "$0")/third/platform"
GOWORK=off GOFLAGS=-mod=mod GOPROXY=off go build -o ../../../target/standins-3 .
