#!/bin/sh
# Builds the stand-ins of the review.
set -e
cd "$(dirname "$0")/standin"
exec go build -o ../../target/review-standin .
