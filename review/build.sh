#!/bin/sh
# Builds the stand-ins that the cases start. The controllers are built by the build line of deploy/service.toml.
set -eu
cd "$(dirname "$0")/.."
go build -tags review -o target/review/standin ./review/standin
