GO ?= go
TOOLS := $(CURDIR)/.tools/bin
GOFUMPT := mvdan.cc/gofumpt@v0.12.0
LINT := github.com/golangci/golangci-lint/v2/cmd/golangci-lint@v2.15.0
GOFILES := $$(git ls-files --cached --others --exclude-standard '*.go' | grep -v -E '\.pb\.go$$|\.connect\.go$$')

.PHONY: try check format lint vet test tools

# try runs the main job on the embedded stand-ins.
try:
	$(GO) run . try --seconds 5

# check is what CI runs.
check: format lint vet test

tools: $(TOOLS)/gofumpt $(TOOLS)/golangci-lint

$(TOOLS)/gofumpt:
	GOBIN=$(TOOLS) $(GO) install $(GOFUMPT)

$(TOOLS)/golangci-lint:
	GOBIN=$(TOOLS) $(GO) install $(LINT)

format: $(TOOLS)/gofumpt
	@out=$$($(TOOLS)/gofumpt -l $(GOFILES)); if [ -n "$$out" ]; then echo "not formatted:"; echo "$$out"; exit 1; fi

lint: $(TOOLS)/golangci-lint
	$(TOOLS)/golangci-lint run --allow-parallel-runners ./...

vet:
	$(GO) vet ./...

test:
	sh .ci/test.sh
