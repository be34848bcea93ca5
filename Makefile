# Targets for users and maintainers. `make test` is what CI runs.
GO ?= go
SOURCES = $(shell git ls-files '*.go' | grep -v '\.pb\.go$$' | grep -v '\.twirp\.go$$')

.PHONY: all build test lint demo

all: build

build:
	$(GO) build -o bin/ ./cmd/...

lint:
	@unformatted=$$(gofmt -l $(SOURCES)); \
	if [ -n "$$unformatted" ]; then echo "gofmt differs: $$unformatted"; exit 1; fi
	$(GO) vet ./...
	$(GO) tool staticcheck ./...
	$(GO) run ./tools/shapecheck .
	./scripts/check-generated.sh

test: lint
	$(GO) test -race -count=1 ./...
