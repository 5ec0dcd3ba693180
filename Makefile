# The checks of this repository; `make ci` runs all of them.
GO ?= go
PACKAGES := ./...

.PHONY: wire-names examples ci format lint vet build model test fuzz soak known-red

ci: format wire-names lint vet build examples model fuzz known-red test

format:
	@out="$$(gofmt -l cmd internal pkg platform test 2>/dev/null)"; if [ -n "$$out" ]; then echo "not formatted:"; echo "$$out"; exit 1; fi

lint:
	golangci-lint run $(PACKAGES)

vet:
	$(GO) vet $(PACKAGES)

build:
	$(GO) build -o bin/sesamestream ./cmd/sesamestream

examples: build
	@for f in examples/*/*.yaml; do bin/sesamestream check $$f || exit 1; done

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

wire-names:
	@scripts/wire-names
