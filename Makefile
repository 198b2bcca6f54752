# Development tasks. `make check` must pass before every commit.

POLICY    = logic/router.go
MAX_LINES = 950
MAX_WIDTH = 110

.PHONY: build linked test lint size check run

# The standing test preloads a library into the proxy, so the binary must be linked dynamically against the C library.
build:
	mkdir -p bin
	CGO_ENABLED=1 go build -ldflags=-linkmode=external -o bin/ ./cmd/...

linked: build
	@readelf -lW bin/havenproxy | grep -q INTERP && readelf -dW bin/havenproxy | grep -q 'NEEDED.*libc\.so' || \
	{ echo "bin/havenproxy is not linked dynamically against the C library"; exit 1; }; \
	echo "bin/havenproxy: linked dynamically against the C library"

# Tests for known faults that are not fixed yet: each line of KNOWN-RED.txt begins with the test's name and a colon.
KNOWN_RED = $(shell sed -n 's/^\(Test[A-Za-z0-9_]*\):.*/\1/p' KNOWN-RED.txt 2>/dev/null | paste -sd'|')

test:
	@[ ! -s KNOWN-RED.txt ] || { echo "known failures, not run:"; cat KNOWN-RED.txt; }
	go test -count=1 -timeout 300s $(if $(KNOWN_RED),-skip '^($(KNOWN_RED))$$') ./...

lint:
	@unformatted=$$(gofmt -l cmd internal logic); [ -z "$$unformatted" ] || { echo "not gofmt'd: $$unformatted"; exit 1; }
	go vet ./...

# The decision module must stay small enough to read in one sitting.
size:
	@lines=$$(grep -cv '^[[:space:]]*$$' $(POLICY)); \
	[ "$$lines" -le $(MAX_LINES) ] || { echo "$(POLICY) has $$lines non-blank lines, the limit is $(MAX_LINES)"; exit 1; }; \
	echo "$(POLICY): $$lines non-blank lines, the limit is $(MAX_LINES)"
	@long=$$(awk 'length($$0) > $(MAX_WIDTH) { print FILENAME ":" FNR }' $(POLICY)); \
	[ -z "$$long" ] || { echo "lines over $(MAX_WIDTH) characters: $$long"; exit 1; }

check: lint build linked test size

# Runs one proxy with the given configuration, for example: make run EDGE_CONFIG=deploy/example.json
run: build
	EDGE_CONFIG=$(EDGE_CONFIG) bin/havenproxy
