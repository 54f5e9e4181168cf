#!/usr/bin/env bash
# Runs the formatter, the linter and all tests with the race detector. Tests named in KNOWN-RED.txt are
# passed over and printed.
set -euo pipefail
cd "$(dirname "$0")/.."

unformatted=$(gofmt -l .)
if [ -n "$unformatted" ]; then
	echo "not formatted: $unformatted"
	exit 1
fi
.bin/golangci-lint run ./...

skip=()
if [ -f KNOWN-RED.txt ]; then
	# An entry begins with "test: NAME".
	names=$(sed -n 's/^test: *\([^ ]*\).*/\1/p' KNOWN-RED.txt | paste -sd'|' -)
	if [ -n "$names" ]; then
		echo "known red, passed over:"
		cat KNOWN-RED.txt
		skip=(-skip "^($names)\$")
	fi
fi
go test -race -count=1 -p 2 "${skip[@]}" ./...
