LINT_VERSION := v2.12.2

.PHONY: setup build test demo
setup:
	GOBIN=$(CURDIR)/.bin go install github.com/golangci/golangci-lint/v2/cmd/golangci-lint@$(LINT_VERSION)
	go mod download

build:
	go build -o bin/ ./cmd/...

test:
	scripts/test.sh

demo: build
	bin/cowslipway demo --listen 127.0.0.1:8400

.PHONY: measure
measure: build
	bin/load measure --dir docs/measurements
