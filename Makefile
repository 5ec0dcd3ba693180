# The checks of this repository; `make ci` runs all of them.
GO ?= go
PACKAGES := ./...

.PHONY: ci format lint vet build model test fuzz soak known-red

ci: format lint vet build model fuzz known-red test

format:
	@out="$$(gofmt -l cmd internal pkg test 2>/dev/null)"; if [ -n "$$out" ]; then echo "not formatted:"; echo "$$out"; exit 1; fi

lint:
	golangci-lint run $(PACKAGES)

vet:
	$(GO) vet $(PACKAGES)

build:
	$(GO) build -o bin/sesamestream ./cmd/sesamestream

model:
	@if [ -x model/check ]; then model/check; fi

fuzz:
	@scripts/fuzz

known-red:
	@scripts/known-red --print

test:
	@scripts/test

soak: build
	@scripts/soak
