#!/bin/sh
# Builds the stand-ins that the scripts start. They use the standard library only.
set -eu
cd "$(dirname "$0")/platform"
GOWORK=off GOFLAGS=-mod=readonly go build -o ../build/stand .
