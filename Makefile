PYTHON ?= python3
VENV := .venv
BIN := $(VENV)/bin
PACKAGES := core policy entry gateway operator standins
EDITABLE := $(foreach p,$(PACKAGES),-e packages/hollyspan_$(p)) -e platform
SOURCES := packages platform integration benchmarks

# Real processes of several tests share the cores; more workers than this make
# their waits depend on the load.
WORKERS ?= 4

.PHONY: venv test check lint format demo serve yielding

venv: $(VENV)/installed

$(VENV)/installed: constraints.txt requirements-dev.txt packages/*/pyproject.toml platform/pyproject.toml
	$(PYTHON) -m venv $(VENV)
	$(BIN)/python -m pip install -q -c constraints.txt -r requirements-dev.txt
	$(BIN)/python -m pip install -q -c constraints.txt --no-build-isolation $(EDITABLE)
	touch $@

# Test modules run side by side, the tests of one module in their order.
test: venv
	$(BIN)/python -m pytest -n $(WORKERS) --dist loadfile

check: lint
	$(BIN)/python -m pytest -q -n $(WORKERS) --dist loadfile packages platform

lint: venv
	$(BIN)/python -m black -q --check $(SOURCES)
	$(BIN)/python -m isort -q --check $(SOURCES)
	$(BIN)/python -m flake8 $(SOURCES)

format: venv
	$(BIN)/python -m isort -q $(SOURCES)
	$(BIN)/python -m black -q $(SOURCES)

demo: venv
	$(BIN)/python -m hollyspan_standins.demo

serve: venv
	$(BIN)/python -m hollyspan_standins.serve

yielding: venv
	$(BIN)/python -m benchmarks.yielding --scenario trust
	$(BIN)/python -m benchmarks.yielding --scenario cooperative
