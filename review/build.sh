#!/usr/bin/env bash
# Builds the stand-ins that the scripts of the cases start, into target/. Needs no network.
set -euo pipefail
cd "$(dirname "$0")/standin"
GOFLAGS=-mod=mod GOPROXY=off go build -o ../../target/review-standin .
