#!/bin/sh
# Builds the stand-ins that the scripts of review/4 and later start, after the build line of deploy/system.toml.
set -e
cd "$(dirname "$0")/.."
go build -ldflags=-linkmode=external -o target/review-harness-2 ./review/harness-2
