#!/usr/bin/env bash
# Builds the stand-ins of the cases 4 to 8. Nothing is downloaded: they use the standard library alone.
set -eu
cd "$(dirname "$0")/standin2"
GOFLAGS=-mod=mod GOPROXY=off go build -buildvcs=false -o ../../target/review2/standin2 .
