# Build, test, lint and run, all in the project's own environment.
PYTHON ?= python3
BIN := .venv/bin

.PHONY: build test lint run example clean

build: .venv

.venv: requirements.txt
	$(PYTHON) -m venv .venv
	$(BIN)/pip -q install -r requirements.txt
	touch .venv

test: build
	$(BIN)/python -m pytest -q

lint: build
	$(BIN)/ruff check .
	$(BIN)/mypy

# One controller; NODE_CONFIG names its configuration.
run: build
	NODE_CONFIG=$${NODE_CONFIG:-examples/config.json} $(BIN)/python -m sageweir

# Two toy clearing servers, a controller and one caller, all on loopback.
example: build
	$(BIN)/python examples/try_it.py

clean:
	rm -rf .venv .mypy_cache .ruff_cache .pytest_cache .hypothesis
