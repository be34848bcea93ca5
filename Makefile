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

# Runs the whole path as separate processes on loopback. EXAMPLES names cell
# files to run at the sizes of today, for example
# EXAMPLES="examples/turnos.toml examples/manuscript.toml".
demo: build
	GODWIT_BIN=$(CURDIR)/bin EXAMPLES="$(EXAMPLES)" $(GO) test -count=1 -v -run TestDemo ./test/e2e

# Runs every fuzz target for FUZZTIME.
FUZZTIME ?= 10s
fuzz:
	./scripts/fuzz.sh $(FUZZTIME)

# Randomised runs of the cores with their invariants. SEED is the first seed of
# the replicated log and the seed of the others; RUNS is the number of runs.
SEED ?= 1
RUNS ?= 1000
soak:
	$(GO) test -count=1 -v -run TestSoak ./core/replog -soak.seed=$(SEED) -soak.runs=$(RUNS)
	$(GO) test -count=1 -v -run TestRandomised ./core/state -rapid.seed=$(SEED) -rapid.checks=$(RUNS)
	$(GO) test -count=1 -run TestRandomised ./core/workload -rapid.seed=$(SEED) -rapid.checks=$(RUNS)
	$(GO) test -count=1 -timeout 30m -run TestSoak ./core/dispatch -soak.seed=$(SEED) -soak.runs=$(RUNS)
	$(GO) test -count=1 -run TestHolderEndsBeforeGranter ./core/lease -rapid.seed=$(SEED) -rapid.checks=$(RUNS)

# Random faults on the platform's programs as separate processes; about 12 s a
# seed. CI runs one seed.
platform-soak:
	$(GO) test -race -count=1 -v -timeout 60m -run TestSoak ./test/platformsoak -soak.seed=$(SEED) -soak.runs=$(RUNS)

# Applies each planted fault to a copy of the tree and expects it to be found.
planted:
	./test/planted/run-replog.sh
	./test/planted/run-core.sh state
	./test/planted/run-core.sh dispatch
	./test/planted/run-core.sh storage
	./test/planted/run-e2e.sh

# Benchmarks of the cores and of the processes; several minutes.
bench: build
	for b in placement policy routing proxy log commit state; do echo "== $$b"; bin/godwit-bench $$b || exit 1; done

# One HTML page with plots and the raw numbers as CSV files, in out/report.
report: build
	bin/godwit-bench report --out out/report

# Slopes of the cost of control over the number of workers (docs/CAPACITY.md).
capacity: build
	bin/godwit-bench control
	bin/godwit-bench state
