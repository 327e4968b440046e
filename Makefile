GO ?= go
BIN := bin

.PHONY: all build test lint demo soak fault-soak faults experiments capacity compare generate traces

all: build test

build:
	$(GO) build -o $(BIN)/ ./cmd/...

# Passes over the tests named in KNOWN-RED.txt.
KNOWN_RED := $(shell sed -n 's/^ *Skip: //p' KNOWN-RED.txt 2>/dev/null | paste -sd '|' -)
test:
	$(GO) test -count=1 $(if $(KNOWN_RED),-skip '$(KNOWN_RED)') ./...

# Fails if gofumpt would change a file, or if vet or staticcheck reports a problem.
lint:
	@out="$$($(GO) tool gofumpt -l cmd docs internal pkg platform)"; if [ -n "$$out" ]; then echo "gofumpt:"; echo "$$out"; exit 1; fi
	$(GO) vet ./...
	$(GO) tool staticcheck ./...

# Starts a small deployment of separate processes, sends some requests and stops
# the deployment. With KEEP=1 it runs until it is interrupted.
demo: build
	$(BIN)/standin demo

# Runs SEEDS random fault schedules, from seed FIRST on, against several instances
# in one process, and prints the numbers of runs, faults and checks. KINDS selects
# the kinds of faults, separated by commas; empty means all.
SEEDS ?= 100
FIRST ?= 0
KINDS ?=
soak:
	$(GO) test -count=1 -timeout 30m -v -run '^TestSoakLong$$' ./pkg/instance -args -soak.seeds=$(SEEDS) -soak.first=$(FIRST) -soak.kinds=$(KINDS)

# Runs gateways as separate processes, into which the test injects random faults from
# outside, for SEEDS seeds from FIRST on; with FIRST=0 the first seed is taken from the
# time of day. The logs of failed runs are kept under out/soak. SWITCHED selects the
# kinds of faults that can be switched (evacuation, cold, rollback, status, settings), separated by
# commas; empty means those that are enabled, none means none.
SWITCHED ?=
PARALLEL ?= 4
INSTANCES ?= 5
fault-soak: build
	mkdir -p out/soak
	$(GO) test -count=1 -timeout 60m -v -run '^TestLongSoak$$' ./internal/soak -args -soak.seeds=$(SEEDS) -soak.first=$(FIRST) -soak.parallel=$(PARALLEL) -soak.instances=$(INSTANCES) -soak.kinds=$(SWITCHED) -soak.program=$(CURDIR)/$(BIN)/sardineturn -soak.keep=$(CURDIR)/out/soak

# Runs load and faults against nine instances in separate processes, in each scenario
# first for sardineturn and then for the baseline, and writes figures and plots to
# docs/measurements.
SEED ?= 1
experiments: build
	$(BIN)/standin experiment --customer shevitsa --seed $(SEED) --out docs/measurements
	$(BIN)/standin experiment --customer scalai --seed $(SEED) --out docs/measurements

# Kills, pauses, cuts off and restarts instances, and splits the network between them,
# under load with orders; also sends a request that crashes upstreams. Fails if an
# answer or an order violates a guarantee, or if a target is missed.
faults: build
	$(BIN)/standin experiment --only instance-killed,instance-paused,instance-cut,fleet-split,rolling-restart,crashing-request --no-baseline --seed $(SEED) --strict

# Measures what the parts of sardineturn cost at growing sizes and fills the tables of
# docs/CAPACITY.md.
capacity: build
	$(GO) test -run '^$$' -bench Second -benchtime 300x -count 5 ./pkg/membership > $(BIN)/membership-bench.txt
	$(GO) test -run '^$$' -bench Memory -benchtime 2x ./pkg/membership >> $(BIN)/membership-bench.txt
	$(BIN)/standin capacity

# Compares each decision of sardineturn with alternative policies in virtual time.
compare: build
	$(BIN)/standin compare --seed $(SEED) --seeds 3 --out docs/measurements/decisions.txt

generate:
	protoc --go_out=. --go_opt=module=github.com/sardineturn/sardineturn \
		--go-grpc_out=. --go-grpc_opt=module=github.com/sardineturn/sardineturn pkg/wire/peer.proto

# Records the traces that the replay test uses. Each trace is cut to the part that shows
# the guarantee it is kept for. Run it after an intended change of a policy.
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
