#!/bin/sh
# Builds the stand-ins that the scripts of cases 11 to 15 start. The system itself is built by the deploy file.
set -eu
cd "$(dirname "$0")/.."
go build -o target/review-3/rig ./review/rig
