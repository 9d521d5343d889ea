# The commands that people use; CMake does the work.
BUILD ?= build
JOBS ?= $(shell nproc)

.PHONY: all deps build check clean

all: build

deps:
	utils/install-dependencies

$(BUILD)/build.ninja:
	cmake -S . -B $(BUILD) -G Ninja

build: deps $(BUILD)/build.ninja
	cmake --build $(BUILD) -j $(JOBS)

check: build
	utils/run-checks $(BUILD)

clean:
	rm -rf $(BUILD)

.PHONY: demo
demo: build
	BERGAMOTPADDLE_BUILD=$(abspath $(BUILD)) utils/demo

# Long fuzzing: make fuzz SEED=11 RUNS=5000
SEED ?= 7
RUNS ?= 2000
.PHONY: fuzz bench style
fuzz: build
	RC_PARAMS="seed=$(SEED) max_success=$(RUNS)" $(BUILD)/tests/FleetTests "[fuzz]"

style: build
	utils/check-style $(BUILD)

bench: build
	$(BUILD)/bin/bergamotpaddle-bench --output $(BUILD)/bench.csv
	BERGAMOTPADDLE_BUILD=$(abspath $(BUILD)) utils/bench-real-path
