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

# SEEDS are the seeds of a fault soak.
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

# MEASURES names the measures of `make agreement`; none means all.
agreement: build
	@SEED=$(SEED) scripts/agreement.sh $(MEASURES)

# FAULTS names the scenarios of `make faults`; none means all.
faults: build
	@SEED=$(SEED) scripts/faults.sh $(FAULTS)

capacity: build
	@scripts/capacity.sh

soak: build
	@scripts/soak.sh $(SEEDS)

# PAGE is where `make rounds` puts the page of the journal's days.
PAGE ?= bin/rounds.html
rounds: build
	@$(BIN)/vtbench rounds -journal journal -out $(PAGE)
	@echo $(PAGE)
