# Shorthands; `make run CONFIG=path` needs a configuration (see the README).
BUILD ?= build
CONFIG ?= config.json
SOURCES = $(wildcard src/*.cpp src/*.h src/net/*.cpp src/net/*.h src/modbus/*.cpp src/modbus/*.h drill/*.cpp drill/*.h src/fleet/*.cpp src/fleet/*.h lab/*.cpp lab/*.h tests/*.cpp tests/*.h)

.PHONY: build test lint run clean

build:
	cmake -B $(BUILD) -DCMAKE_BUILD_TYPE=Release
	cmake --build $(BUILD) -j4

test: build
	ctest --test-dir $(BUILD) --output-on-failure

lint:
	clang-format --dry-run -Werror $(SOURCES)
	cppcheck --quiet --std=c++20 --language=c++ --enable=warning,performance,portability --inline-suppr \
	  --suppress=missingIncludeSystem --error-exitcode=1 -I . src drill

run: build
	$(BUILD)/firtide serve $(CONFIG)

clean:
	cmake --build $(BUILD) --target clean
