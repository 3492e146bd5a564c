BUILD ?= build
JOBS ?= $(shell nproc)

.PHONY: all build test demo format lint sanitize

all: build

build:
	cmake -G Ninja -S . -B $(BUILD) >/dev/null
	ninja -C $(BUILD) -j $(JOBS)

test: build
	support/test.sh $(BUILD)

demo: build
	support/demo.sh $(BUILD)

sanitize:
	cmake -G Ninja -S . -B build-asan -DFULMAR_SANITIZE=ON \
	  -DCMAKE_BUILD_TYPE=RelWithDebInfo >/dev/null
	ninja -C build-asan -j $(JOBS)
	support/test.sh build-asan skip

format:
	support/format.sh

lint: build
	support/lint.sh $(BUILD)
