BUILD ?= build
JOBS ?= $(shell nproc)

.PHONY: all build test demo format lint sanitize

all: build

build:
	cmake -G Ninja -S . -B $(BUILD) >/dev/null
	ninja -C $(BUILD) -j $(JOBS)

test: build
	ctest --test-dir $(BUILD) --output-on-failure -j 4

demo: build
	support/demo.sh $(BUILD)

sanitize:
	cmake -G Ninja -S . -B build-asan -DFULMAR_SANITIZE=ON \
	  -DCMAKE_BUILD_TYPE=RelWithDebInfo >/dev/null
	ninja -C build-asan -j $(JOBS)
	ctest --test-dir build-asan --output-on-failure -j 4

format:
	support/format.sh

lint: build
	support/lint.sh $(BUILD)
