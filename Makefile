# Targets for users and maintainers. `make test` is what CI runs.
GO ?= go
SOURCES = $(shell git ls-files '*.go' | grep -v '\.pb\.go$$' | grep -v '\.twirp\.go$$')

.PHONY: all build test lint demo fuzz soak platform-soak planted bench capacity report

all: build

build:
	$(GO) build -o bin/ ./cmd/...

lint:
	@unformatted=$$(gofmt -l $(SOURCES)); \
	if [ -n "$$unformatted" ]; then echo "gofmt differs: $$unformatted"; exit 1; fi
	$(GO) mod tidy -diff
	$(GO) vet ./...
	$(GO) tool staticcheck ./...
	$(GO) run ./tools/shapecheck .
	./scripts/check-generated.sh

test: lint
	GO=$(GO) ./scripts/test.sh

# Runs the end-to-end demo with separate processes on loopback. EXAMPLES names cell files to run
# instead, with as many processes as a cell has at present, for example
# EXAMPLES="examples/turnos.toml examples/manuscript.toml".
demo: build
	GODWIT_BIN=$(CURDIR)/bin EXAMPLES="$(EXAMPLES)" $(GO) test -count=1 -v -run TestDemo ./test/e2e

# Runs each fuzz target for FUZZTIME.
FUZZTIME ?= 10s
fuzz:
	./scripts/fuzz.sh $(FUZZTIME)

# Randomized tests of the core packages that check their invariants. For TestSoak, SEED is the first
# of RUNS seeds; for the other tests it is the only seed, and RUNS is the number of checks.
SEED ?= 1
RUNS ?= 1000
soak:
	$(GO) test -count=1 -v -run TestSoak ./core/replog -soak.seed=$(SEED) -soak.runs=$(RUNS)
	$(GO) test -count=1 -v -run TestRandomised ./core/state -rapid.seed=$(SEED) -rapid.checks=$(RUNS)
	$(GO) test -count=1 -run TestRandomised ./core/workload -rapid.seed=$(SEED) -rapid.checks=$(RUNS)
	$(GO) test -count=1 -timeout 30m -run TestSoak ./core/dispatch -soak.seed=$(SEED) -soak.runs=$(RUNS)
	$(GO) test -count=1 -run TestHolderEndsBeforeGranter ./core/lease -rapid.seed=$(SEED) -rapid.checks=$(RUNS)

# Injects random faults into the programs of the platform, run as separate processes; about 12 s per
# seed. CI runs one seed.
platform-soak:
	$(GO) test -race -count=1 -v -timeout 60m -run TestSoak ./test/platformsoak -soak.seed=$(SEED) -soak.runs=$(RUNS)

# Applies each planted fault to a copy of the tree and checks that the tests detect it.
planted:
	./test/planted/run-replog.sh
	./test/planted/run-core.sh state
	./test/planted/run-core.sh dispatch
	./test/planted/run-core.sh storage
	./test/planted/run-e2e.sh

# Benchmarks of the core packages and of the processes; takes several minutes.
bench: build
	for b in placement policy routing proxy log commit state; do echo "== $$b"; bin/godwit-bench $$b || exit 1; done

# Writes an HTML page with plots, and the raw numbers as CSV files, to out/report.
report: build
	bin/godwit-bench report --out out/report

# Measures how the cost of the control plane grows with the number of workers (docs/CAPACITY.md).
capacity: build
	bin/godwit-bench control
	bin/godwit-bench state
