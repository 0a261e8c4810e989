include tools.env

BIN := $(CURDIR)/.bin
OUT := $(CURDIR)/bin
TOOLS := $(BIN)/golangci-lint $(BIN)/gofumpt $(BIN)/buf $(BIN)/protoc-gen-go $(BIN)/protoc-gen-connect-go $(BIN)/gopls
PACKAGES := ./cmd/... ./internal/... ./platform/...

.PHONY: build test experiment lint format generate generated-check demo measure measure-baseline bench slopes fuzz soak mixed run tools clean

build:
	go build -o $(OUT)/almondway ./cmd/almondway
	go build -o $(OUT)/standin ./cmd/standin

test:
	go test $(PACKAGES)

experiment: build
	$(OUT)/standin experiment --load "$(LOAD)" --without "$(WITHOUT)"

demo: build
	$(OUT)/standin demo

measure: build
	$(OUT)/standin measure --scenario "$(SCENARIO)" --deployment "$(DEPLOYMENT)" --policy "$(POLICY)"

# Runs the measurements with the proxies of the commit BASELINE and the load client of this
# commit, for comparison with "make measure".
measure-baseline: build
	git worktree add --force --detach $(CURDIR)/.run/baseline $(BASELINE)
	$(MAKE) -C $(CURDIR)/.run/baseline build OUT=$(CURDIR)/.run/baseline/bin
	$(OUT)/standin measure --programs $(CURDIR)/.run/baseline/bin --label "$(BASELINE)" --policy almondway \
		--scenario "$(SCENARIO)" --deployment "$(DEPLOYMENT)"; \
	git worktree remove --force $(CURDIR)/.run/baseline

bench: build
	go test -run '^$$' -bench . -benchmem $(PACKAGES) | grep -E '^(Benchmark|FAIL)' || true
	$(OUT)/standin bench

slopes: build
	$(OUT)/standin slopes --only "$(ONLY)"

run: build
	$(OUT)/almondway proxy

tools: $(TOOLS)

$(BIN)/golangci-lint: tools.env
	GOBIN=$(BIN) go install github.com/golangci/golangci-lint/v2/cmd/golangci-lint@$(GOLANGCI_LINT_VERSION)
	@touch $@

$(BIN)/gofumpt: tools.env
	GOBIN=$(BIN) go install mvdan.cc/gofumpt@$(GOFUMPT_VERSION)
	@touch $@

$(BIN)/buf: tools.env
	GOBIN=$(BIN) go install github.com/bufbuild/buf/cmd/buf@$(BUF_VERSION)
	@touch $@

$(BIN)/protoc-gen-go: tools.env
	GOBIN=$(BIN) go install google.golang.org/protobuf/cmd/protoc-gen-go@$(PROTOC_GEN_GO_VERSION)
	@touch $@

$(BIN)/protoc-gen-connect-go: tools.env
	GOBIN=$(BIN) go install connectrpc.com/connect/cmd/protoc-gen-connect-go@$(PROTOC_GEN_CONNECT_GO_VERSION)
	@touch $@

$(BIN)/gopls: tools.env
	GOBIN=$(BIN) go install golang.org/x/tools/gopls@$(GOPLS_VERSION)
	@touch $@

format: $(BIN)/gofumpt
	$(BIN)/gofumpt -w cmd internal platform

lint: $(BIN)/golangci-lint $(BIN)/gofumpt
	@unformatted=$$($(BIN)/gofumpt -l cmd internal platform); \
	if [ -n "$$unformatted" ]; then echo "not formatted: $$unformatted"; exit 1; fi
	$(BIN)/golangci-lint run --allow-parallel-runners $(PACKAGES)

generate: $(BIN)/buf $(BIN)/protoc-gen-go $(BIN)/protoc-gen-connect-go
	PATH=$(BIN):$$PATH $(BIN)/buf lint
	PATH=$(BIN):$$PATH $(BIN)/buf generate

generated-check: generate
	git diff --exit-code --stat -- internal/proto
	@untracked=$$(git ls-files --others --exclude-standard internal/proto); \
	if [ -n "$$untracked" ]; then echo "generated but not committed: $$untracked"; exit 1; fi

# Runs the proxies for the hosting platform under randomly injected faults, with SEEDS new seeds
# (default 50) in addition to the fixed ones. Each run injects faults for SPAN (default 12s).
soak:
	go test ./platform/soak -count=1 -timeout 60m -parallel 6 -v -soak.seeds $(or $(SEEDS),50) -soak.span $(or $(SPAN),12s)

# Runs the soak with proxies of this commit and of the commit BASELINE side by side, with SEEDS
# new seeds (default 14) in addition to the fixed ones.
mixed:
	git worktree add --force --detach $(CURDIR)/.run/mixed $(BASELINE)
	$(MAKE) -C $(CURDIR)/.run/mixed build OUT=$(CURDIR)/.run/mixed/bin && \
	go test ./platform/soak -run 'TestSoak$$' -count=1 -timeout 60m -parallel 3 -v -soak.old $(CURDIR)/.run/mixed/bin/almondway \
		-soak.seeds $(or $(SEEDS),14) -soak.span $(or $(SPAN),12s); \
	status=$$?; git worktree remove --force $(CURDIR)/.run/mixed; exit $$status

clean:
	rm -rf $(BIN) $(OUT)

fuzz:
	scripts/fuzz
