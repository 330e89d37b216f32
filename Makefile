# Shorthands; `make run CONFIG=path` needs a configuration (see the README).
BUILD ?= build
CONFIG ?= config.json
# All C++ outside the folders that builds are made in, and the folders that it is in.
SOURCES = $(patsubst ./%,%,$(sort $(shell find . -path './build*' -prune -o -name '*.cpp' -print -o -name '*.h' -print)))
FOLDERS = $(sort $(foreach file,$(SOURCES),$(firstword $(subst /, ,$(file)))))

.PHONY: build test lint tidy sanitize capacity run clean

build:
	cmake -B $(BUILD) -DCMAKE_BUILD_TYPE=Release
	cmake --build $(BUILD) -j4

test: build
	ctest --test-dir $(BUILD) --output-on-failure

lint:
	clang-format --dry-run -Werror $(SOURCES)
	cppcheck -j4 --quiet --std=c++20 --language=c++ --library=googletest --enable=warning,performance,portability \
	  --inline-suppr --suppress=missingIncludeSystem --error-exitcode=1 -I . $(FOLDERS)

# clang-tidy, over the parts that are finished. Not yet: src/base, src/modbus, src/main.cpp, simulation,
# fault_injection, simulator_adapter, scale, tests, and of src/net:
NOT_TIDY = src/net/config.cpp src/net/service.cpp $(wildcard src/net/reducer*.cpp)
TIDY = $(filter-out $(NOT_TIDY),$(wildcard src/balance/*.cpp src/fleet/*.cpp src/fleet/*/*.cpp src/http/*.cpp src/io/*.cpp src/net/*.cpp))
tidy:
	cmake -B $(BUILD) >/dev/null
	printf '%s\n' $(TIDY) | xargs -P4 -n2 clang-tidy --quiet -p $(BUILD) --extra-arg=-Wno-unknown-warning-option

# The unit tests under the address and undefined-behaviour sanitizers, in a build folder of their own.
SANITIZED = $(patsubst %-sanitized,%,$(BUILD))-sanitized
sanitize:
	cmake -B $(SANITIZED) -DCMAKE_BUILD_TYPE=Release -DFIRTIDE_SANITIZE=ON
	cmake --build $(SANITIZED) -j4 --target unit_tests
	ctest --test-dir $(SANITIZED) --output-on-failure -L unit

# The tables of docs/CAPACITY.md, from the runs kept in docs/capacity.
capacity:
	python3 scale/capacity.py

run: build
	$(BUILD)/firtide serve $(CONFIG)

clean:
	cmake --build $(BUILD) --target clean
