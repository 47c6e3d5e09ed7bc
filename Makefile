# Targets of verbenatrestle. `make demo` runs the main job, `make test` passes the tests.
SHELL := /bin/bash
export CGO_ENABLED := 1
BIN := bin
PROGRAMS := vtnode vtctl vtstandin vtbench
# DURATION is how long the demo drives load, in seconds.
DURATION ?= 20
# ORG is the organisation that the demo stamps out.
ORG ?= kodumala
# SEED seeds rapid, ginkgo and the measurements.
SEED ?= 20261203

.PHONY: build demo test check bench overhead agreement capacity

build:
	@mkdir -p $(BIN)
	go build -o $(BIN)/ $(addprefix ./cmd/,$(PROGRAMS))

demo: build
	@scripts/demo.sh "$(ORG)" "$(DURATION)"

test: check
	@VT_SEED=$(SEED) scripts/test.sh

check:
	@scripts/check.sh

bench: build
	@scripts/bench.sh

overhead: build
	@scripts/overhead.sh

agreement: build
	@scripts/agreement.sh

capacity: build
	@scripts/capacity.sh
