GO ?= go
BIN := bin

.PHONY: all build test lint demo soak fault-soak faults experiments capacity compare generate traces

all: build test

build:
	$(GO) build -o $(BIN)/ ./cmd/...

test:
	$(GO) test -count=1 ./...

# Fails on files that gofumpt would change, and on vet and staticcheck findings.
lint:
	@out="$$($(GO) tool gofumpt -l cmd docs internal pkg platform)"; if [ -n "$$out" ]; then echo "gofumpt:"; echo "$$out"; exit 1; fi
	$(GO) vet ./...
	$(GO) tool staticcheck ./...

# Starts a small deployment of separate processes, sends some requests and stops
# it. KEEP=1 stays up until interrupted.
demo: build
	$(BIN)/standin demo

# Runs SEEDS random fault schedules, from seed FIRST on, with several instances
# in one process; prints the counts of runs, faults and checks.
SEEDS ?= 100
FIRST ?= 0
KINDS ?=
soak:
	$(GO) test -count=1 -timeout 30m -v -run '^TestSoakLong$$' ./pkg/instance -args -soak.seeds=$(SEEDS) -soak.first=$(FIRST) -soak.kinds=$(KINDS)

# Runs gateways as separate processes with random faults from outside, for SEEDS
# seeds from FIRST on; 0 takes the time of day. Logs of failed runs are kept under
# out/soak.
PARALLEL ?= 4
INSTANCES ?= 5
fault-soak: build
	mkdir -p out/soak
	$(GO) test -count=1 -timeout 60m -v -run '^TestLongSoak$$' ./internal/soak -args -soak.seeds=$(SEEDS) -soak.first=$(FIRST) -soak.parallel=$(PARALLEL) -soak.instances=$(INSTANCES) -soak.program=$(CURDIR)/$(BIN)/sardineturn -soak.keep=$(CURDIR)/out/soak

# Runs load and faults against nine instances as separate processes, for the
# product and the baseline in turn, and writes figures and pictures.
SEED ?= 1
experiments: build
	$(BIN)/standin experiment --customer shevitsa --seed $(SEED) --out docs/measurements
	$(BIN)/standin experiment --customer scalai --seed $(SEED) --out docs/measurements

# Kills, pauses, cuts off, splits and restarts instances under load with orders,
# and sends a request that crashes upstreams; fails when an answer or an order
# breaks a promise, or an aim is missed.
faults: build
	$(BIN)/standin experiment --only instance-killed,instance-paused,instance-cut,fleet-split,rolling-restart,crashing-request --no-baseline --seed $(SEED) --strict

# Measures what the parts cost at growing sizes and fills docs/CAPACITY.md.
capacity: build
	$(GO) test -run '^$$' -bench Second -benchtime 300x -count 5 ./pkg/membership > $(BIN)/membership-bench.txt
	$(GO) test -run '^$$' -bench Memory -benchtime 2x ./pkg/membership >> $(BIN)/membership-bench.txt
	$(BIN)/standin capacity

# Compares the decisions with rival ways in virtual time.
compare: build
	$(BIN)/standin compare --seed $(SEED) --seeds 3 --out docs/measurements/decisions.txt

generate:
	protoc --go_out=. --go_opt=module=github.com/sardineturn/sardineturn \
		--go-grpc_out=. --go-grpc_opt=module=github.com/sardineturn/sardineturn pkg/wire/peer.proto

# Records the traces that the replay test uses, cut to the part that shows their
# promise. Needed after a wanted change of policy.
TRACES ?= instance-paused upstream-leaving shard-lost straggler index-change configuration graceful-stop upstream-listed process-paused
TRACE_DIR ?= out/traces
traces: build
	rm -rf $(TRACE_DIR)
	mkdir -p $(TRACE_DIR)
	$(BIN)/standin experiment --only $(shell echo $(TRACES) | tr ' ' ',') --load-factor 0.1 --seed $(SEED) --trace --dir $(TRACE_DIR) --no-baseline
	for s in $(TRACES); do \
		f=$(TRACE_DIR)/shevitsa-$$s-sardineturn/kept.trace.jsonl; \
		$(BIN)/sardineturn replay $$f > pkg/replay/testdata/$$s.json || exit 1; \
		gzip -9 -n -c $$f > pkg/replay/testdata/$$s.jsonl.gz; \
	done
