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
