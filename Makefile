# Thin front for CMake: `make` builds, `make test` tests, `make demo` shows it.
BUILD_DIR ?= build
CMAKE_FLAGS ?=
JOBS ?= $(shell nproc)

.PHONY: all packages configure build test demo bench clean

all: build

packages:
	@bash src/build-scripts/install-packages.sh

configure: packages
	@cmake -S . -B $(BUILD_DIR) -G Ninja $(CMAKE_FLAGS) >/dev/null

build: configure
	@cmake --build $(BUILD_DIR) -j $(JOBS)

test: build
	@ctest --test-dir $(BUILD_DIR) --output-on-failure -j 4

demo: build
	@$(BUILD_DIR)/bin/burdockpulley-demo

bench: build
	@$(BUILD_DIR)/bin/burdockpulley-bench

clean:
	@rm -rf $(BUILD_DIR)
