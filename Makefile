# Targets for developers and CI. Run "make help" for a list.
.PHONY: help build run test integration lint fmt check bench soak soak-daemon slopes capacity

BIN := bin
SEED ?= 1
SEEDS ?= 1
ENTRIES ?= 18
DURATION ?= 5m

help:      ## list the targets
	@grep -E '^[a-z-]+:.*##' $(MAKEFILE_LIST)

build:     ## build the programs into bin/
	go build -o $(BIN)/ ./cmd/...

run: build ## start a development fleet on loopback
	$(BIN)/galenabridge dev

test:      ## run all tests with the race detector
	scripts/test.sh

fmt:       ## list the files that gofmt would change and fail if there are any
	@test -z "$$(gofmt -l .)" || { gofmt -l .; exit 1; }

lint:      ## run go vet and staticcheck
	go vet ./...
	mkdir -p $(BIN)/tools
	cd tools && go build -o ../$(BIN)/tools/ honnef.co/go/tools/cmd/staticcheck
	$(BIN)/tools/staticcheck ./...

check: fmt lint build test ## run all checks of CI

slopes: build ## measure the cost slopes for docs/CAPACITY.md (takes some minutes)
	scripts/slopes.sh docs/capacity/slopes.json

capacity: build ## generate docs/CAPACITY.md from the slopes and the target
	$(BIN)/bridgecap render --target docs/capacity/target.json --slopes docs/capacity/slopes.json --sweep docs/capacity/sweep.json --out docs/CAPACITY.md --plots docs/capacity

integration: ## run the integration tests with real processes
	go test -tags fleet -count=1 -timeout 30m ./test/integration

soak-daemon: ## run the daemon's soak test: make soak-daemon SEED=1 SEEDS=50 DURATION=20s ENTRIES=18
	go test -count=1 -v -timeout 0 -run TestSoak ./platform/soak -soak.first $(SEED) -soak.seeds $(SEEDS) -soak.time $(DURATION) -soak.entries $(ENTRIES)

soak:      ## run the soak test with random faults: make soak SEED=1 DURATION=5m
	go test -tags fleet -count=1 -timeout 0 -run TestSoak -v ./test/integration -soak $(DURATION) -seed $(SEED)
