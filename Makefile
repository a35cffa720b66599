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

.PHONY: build test unit lint generate check-generated demo measure capacity long clean

build:
	$(GO) build -o bin/ ./cmd/...

# test is what CI runs: formatter, linter, generated code in step, all tests.
test: lint check-generated unit

unit: build
	$(GO) vet ./...
	$(GO) test -count=1 $(OTHER_PKGS)
	$(GO) test -count=1 $(RAPID_PKGS) $(RAPID_FLAGS)

$(LINT):
	$(GO) install github.com/golangci/golangci-lint/v2/cmd/golangci-lint@$(LINT_VERSION)

$(BUF):
	$(GO) install github.com/bufbuild/buf/cmd/buf@$(BUF_VERSION)

lint: $(LINT)
	$(LINT) fmt --diff
	$(LINT) run ./...

generate: $(BUF)
	$(BUF) generate

check-generated: generate
	@git diff --exit-code -- internal/wirepb || (echo "generated code is out of step: run make generate and commit"; exit 1)

clean:
	rm -rf bin out

# long-moves runs the large seeded trial of version moves: 1,008 good and 24 bad
# moves of each kind. It takes up to 20 minutes on 5 cores.
.PHONY: long-moves
long-moves:
	$(GO) test -count=1 -v -timeout 60m ./internal/trial -args -moves=24
