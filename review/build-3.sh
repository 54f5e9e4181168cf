#!/usr/bin/env bash
# Builds the stand-ins of the third review, beside the build of the deploy file.
set -euo pipefail
cd "$(dirname "$0")/standin-3"
go build -o ../../target/review-standin-3 .
