#!/bin/sh
# Builds the stand-ins of the second review, after the build of deploy/system.toml.
set -eu
cd "$(dirname "$0")/.."
go build -o target/review-2 ./review/harness
