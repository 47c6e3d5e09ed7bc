# Make targets of verbenatrestle. `make demo` runs a fleet under load, and
# `make test` runs all checks and tests.
SHELL := /bin/bash
export CGO_ENABLED := 1
BIN := bin
PROGRAMS := vtnode vtctl vtstandin vtbench
# DURATION is the length of the demo's load in seconds.
DURATION ?= 20
# ORG is the organisation whose fleet the demo runs.
ORG ?= kodumala
# SEED is the seed of rapid, ginkgo and the measurements.
SEED ?= 20261203

# SEEDS lists the seeds of `make soak`, one run each.
SEEDS ?= 1 2 3

.PHONY: build demo test check bench overhead agreement faults capacity soak rounds

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

# MEASURES lists the measures of `make agreement`. Empty means all.
agreement: build
	@SEED=$(SEED) scripts/agreement.sh $(MEASURES)

# FAULTS lists the scenarios of `make faults`. Empty means all.
faults: build
	@SEED=$(SEED) scripts/faults.sh $(FAULTS)

capacity: build
	@scripts/capacity.sh

soak: build
	@scripts/soak.sh $(SEEDS)

# PAGE is the file to which `make rounds` writes the page about the bench's journal.
PAGE ?= bin/rounds.html
rounds: build
	@$(BIN)/vtbench rounds -journal journal -out $(PAGE)
	@echo $(PAGE)
