# Targets for users and maintainers. `make test` is what CI runs.
GO ?= go
SOURCES = $(shell git ls-files '*.go' | grep -v '\.pb\.go$$' | grep -v '\.twirp\.go$$')

.PHONY: all build test lint demo fuzz

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

# Runs the whole path as separate processes on loopback. EXAMPLES names cell
# files to run at the sizes of today, for example
# EXAMPLES="examples/turnos.toml examples/manuscript.toml".
demo: build
	GODWIT_BIN=$(CURDIR)/bin EXAMPLES="$(EXAMPLES)" $(GO) test -count=1 -v -run TestDemo ./test/e2e

# Runs every fuzz target for FUZZTIME.
FUZZTIME ?= 10s
fuzz:
	./scripts/fuzz.sh $(FUZZTIME)
