GO            ?= go
LINT_VERSION  := v2.15.0
BUF_VERSION   := v1.75.0
GOBIN         := $(shell $(GO) env GOPATH)/bin
LINT          := $(GOBIN)/golangci-lint
BUF           := $(GOBIN)/buf
# Property tests run with a fixed seed; only packages that import rapid know its flags.
SEED          ?= 20261204
RAPID_FLAGS   := -rapid.seed=$(SEED) -rapid.nofailfile
RAPID_LIST    := {{range .XTestImports}}{{if eq . "pgregory.net/rapid"}}{{$$.ImportPath}}{{end}}{{end}}
RAPID_PKGS     = $(shell $(GO) list -f '$(RAPID_LIST)' ./...)
OTHER_PKGS     = $(filter-out $(RAPID_PKGS),$(shell $(GO) list ./...))
export CGO_ENABLED := 1

.PHONY: hop build test unit check-linked lint generate check-generated demo measure capacity long clean

build:
	$(GO) build -o bin/ ./cmd/...

# test is what CI runs: formatter, linter, generated code in step, the binary's
# linkage, all tests.
test: lint check-generated check-linked unit

check-linked: build
	@ldd bin/cicadahall | grep -q 'libc\.so' || (echo "bin/cicadahall is not linked to the C library"; exit 1)

unit: build
	$(GO) vet ./...
	$(GO) test -count=1 $(OTHER_PKGS)
	$(GO) test -count=1 $(RAPID_PKGS) $(RAPID_FLAGS)

$(LINT):
	$(GO) install github.com/golangci/golangci-lint/v2/cmd/golangci-lint@$(LINT_VERSION)

$(BUF):
	$(GO) install github.com/bufbuild/buf/cmd/buf@$(BUF_VERSION)

# demo starts a whole system on loopback and checks its promises.
demo: build
	bin/demo

# hop measures the latency that two hops add on loopback.
hop: build
	bin/hop

lint: $(LINT)
	$(LINT) fmt --diff
	$(LINT) run ./...

generate: $(BUF)
	$(BUF) generate

check-generated: generate
	@git diff --exit-code -- internal/wirepb || (echo "generated code is out of step: run make generate and commit"; exit 1)

clean:
	rm -rf bin out

# long plays 100,000 random histories of the at-most-once protocol.
LONG_CHECKS   ?= 100000

long:
	$(GO) test -count=1 ./internal/hist -run 'TestHistories$$' -v -timeout 1h $(RAPID_FLAGS) -rapid.checks=$(LONG_CHECKS)
