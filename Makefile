GO ?= go
BIN := bin

.PHONY: all build test lint demo soak faults experiments capacity generate

all: build test

build:
	$(GO) build -o $(BIN)/ ./cmd/...

test:
	$(GO) test -count=1 ./...

# Fails on files that gofumpt would change, and on vet and staticcheck findings.
lint:
	@out="$$($(GO) tool gofumpt -l cmd docs internal pkg)"; if [ -n "$$out" ]; then echo "gofumpt:"; echo "$$out"; exit 1; fi
	$(GO) vet ./...
	$(GO) tool staticcheck ./...

# Starts a small deployment of separate processes, sends some requests and stops
# it. KEEP=1 stays up until interrupted.
demo: build
	$(BIN)/standin demo

# Measures what the parts cost at growing sizes and fills docs/CAPACITY.md.
capacity: build
	$(GO) test -run '^$$' -bench 'Second|Receive' -benchtime 300x -count 5 ./pkg/membership > $(BIN)/membership-bench.txt
	$(GO) test -run '^$$' -bench Tick -benchtime 1000x -count 5 ./pkg/membership >> $(BIN)/membership-bench.txt
	$(GO) test -run '^$$' -bench Memory -benchtime 2x ./pkg/membership >> $(BIN)/membership-bench.txt
	$(BIN)/standin capacity

generate:
	protoc --go_out=. --go_opt=module=github.com/sardineturn/sardineturn \
		--go-grpc_out=. --go-grpc_opt=module=github.com/sardineturn/sardineturn pkg/wire/peer.proto
