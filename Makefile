# Targets a newcomer needs: `make demo`, then `make test`.
PROGRAMS := entry sidecar ladderctl standin platform
MODULES := ladder $(PROGRAMS) sloper measurer
VERSION ?= $(shell git describe --always --dirty 2>/dev/null || echo dev)

.PHONY: build test vet lint format demo faults pages slopes measure soak
build:
	@mkdir -p bin
	@for p in $(PROGRAMS); do go build -ldflags "-X github.com/lycheeladder/lycheeladder/ladder/starter.Version=$(VERSION)" -o bin/$$p ./$$p || exit 1; done

test:
	go test work

faults:
	@go test ./ladder/prover -count=1 -run TestMatrix -write $(CURDIR)/docs/FAULT-MATRIX.md; \
	status=$$?; cat docs/FAULT-MATRIX.md; exit $$status

vet:
	go vet work

lint:
	@for m in $(MODULES); do (cd $$m && golangci-lint run --config ../.golangci.yml ./...) || exit 1; done

format:
	@for m in $(MODULES); do (cd $$m && golangci-lint fmt --config ../.golangci.yml ./...) || exit 1; done

demo: build
	@scripts/run-the-demo.sh

# How the cost of control grows, in real time: run it on a quiet machine.
slopes:
	go run ./sloper all --write docs/SLOPES.md

# Baseline, ours and the bound side by side, in virtual time.
measure:
	@go run ./measurer all --write docs

# The parts of docs/ that come from the programs. One package after the other:
# they write the same page.
pages:
	UPDATE_PAGES=1 go test -p 1 -count=1 ./ladder/tabulator ./entry/runner ./sidecar/runner
	go test ./ladderctl/verb -run Schema -update

# Seeds that nobody has played: make soak SEED=1000
SEED ?= 100
SEEDS ?= 50
soak:
	go test ./platform/soaker -run 'TestSoak$$' -count=1 -v -timeout 2h -seeds $(SEEDS) -first-seed $(SEED) -soak-time 6s
