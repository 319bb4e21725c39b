# Targets a newcomer needs: `make demo`, then `make test`.
PROGRAMS := entry sidecar ladderctl standin
MODULES := ladder $(PROGRAMS)
VERSION ?= $(shell git describe --always --dirty 2>/dev/null || echo dev)

.PHONY: build test vet lint format demo faults
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
