# Task commands. `make demo` and `make test` work on a fresh machine.
PYTHON ?= python3
VENV ?= .venv
BIN := $(VENV)/bin
PACKAGES := core api node standins cli
EDITABLE := $(foreach name,$(PACKAGES),-e packages/spanfall-$(name)) -e platform
CODE := packages platform tests bench

.PHONY: demo test lint fmt check capacity docs clean

$(VENV)/.installed: requirements.lock $(wildcard packages/*/pyproject.toml platform/pyproject.toml)
	$(PYTHON) -m venv $(VENV)
	$(BIN)/pip install --quiet -r requirements.lock
	$(BIN)/pip install --quiet --no-deps --no-build-isolation $(EDITABLE)
	touch $@

demo: $(VENV)/.installed
	$(BIN)/spanfall demo

test: $(VENV)/.installed
	$(BIN)/pytest

fmt: $(VENV)/.installed
	$(BIN)/ruff format $(CODE)

lint: $(VENV)/.installed
	$(BIN)/ruff format --check $(CODE)
	$(BIN)/ruff check $(CODE)
	$(BIN)/flake8 $(CODE)
	$(BIN)/mypy
	$(BIN)/lint-imports

check: lint test

docs: $(VENV)/.installed
	$(BIN)/spanfall settings reference > docs/settings.md
	$(BIN)/python -m spanfall_standins.examples examples

capacity: $(VENV)/.installed
	$(BIN)/python bench/capacity.py

clean:
	rm -rf $(VENV) .mypy_cache .ruff_cache .pytest_cache
