# Build, test, lint and run, all in the project's own environment.
PYTHON ?= python3
BIN := .venv/bin

.PHONY: build test lint run control example control-example sites clean

build: .venv

# With the extras of the control service and the laboratory; the platform's own build line takes none of them.
.venv: requirements.txt pyproject.toml
	$(PYTHON) -m venv .venv
	$(BIN)/pip -q install -r requirements.txt -e '.[test]'
	touch .venv

test: build
	$(BIN)/python -m pytest -q

lint: build
	$(BIN)/ruff format --check .
	$(BIN)/ruff check .
	$(BIN)/mypy

# One controller; NODE_CONFIG names its configuration.
run: build
	NODE_CONFIG=$${NODE_CONFIG:-examples/config.json} $(BIN)/python -m sageweir

# Two toy clearing servers, a controller and one caller, all on loopback.
example: build
	$(BIN)/python examples/try_it.py

# A control service for other proxies; CONFIG names its file.
control: build
	$(BIN)/sageweir control --config $${CONFIG:-deploy/control.json}

# A feed stand-in, a control service and a stand-in proxy: a drain arrives at the proxy.
control-example: build
	$(BIN)/python examples/control_demo.py

# Lays the bench's own files beside the deployments in deploy/sites; KIT is the folder that holds them.
KIT ?= ../given/kit/more/mass/other
sites:
	cp $(KIT)/real.json $(KIT)/wire.json $(KIT)/unlock.txt deploy/sites/
	chmod u+w deploy/sites/real.json deploy/sites/wire.json deploy/sites/unlock.txt

clean:
	rm -rf .venv .mypy_cache .ruff_cache .pytest_cache .hypothesis
