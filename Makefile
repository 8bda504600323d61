# Thin front of the CMake workspace.  The two commands to know are
# `make demo` and `make check`; both set the machine up first.
SANITIZE ?= 0
ifeq ($(SANITIZE),1)
BUILD := build-sanitize
CMAKE_FLAGS := -DSANITIZE=ON
else
BUILD := build
CMAKE_FLAGS := -DSANITIZE=OFF
endif
JOBS := $(shell nproc)

.PHONY: all setup build demo check bench format lint clean install

all: build

setup:
	@scripts/setup

build: setup
	@cmake -S . -B $(BUILD) $(CMAKE_FLAGS) >/dev/null
	@$(MAKE) --no-print-directory -C $(BUILD) -j$(JOBS)

demo: build
	@$(BUILD)/tests/demo/demo

check: build
	@scripts/check $(BUILD) $(JOBS)

bench: build
	@scripts/bench $(BUILD)

format: setup
	@git ls-files '*.c' '*.h' '*.cc' | xargs clang-format -i

lint: build
	@scripts/lint $(BUILD)

install: build
	@cmake --install $(BUILD)

clean:
	@rm -rf build build-sanitize
