#!/bin/sh
# Builds the stand-ins of the cases 6 to 10: the platform's store, the engines and the clients, in one program without dependencies.
set -eu
cd "$(dirname "$0")/standin-2"
GOWORK=off GOFLAGS=-mod=mod GOTOOLCHAIN=local go build -o ../../target/review2 .
