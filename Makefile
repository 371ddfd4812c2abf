# Task commands. `make demo` and `make test` work on a fresh machine.
PYTHON ?= python3
VENV ?= .venv
BIN := $(VENV)/bin
PACKAGES := core api node standins cli
EDITABLE := $(foreach name,$(PACKAGES),-e packages/spanfall-$(name))

.PHONY: demo test lint fmt check capacity docs clean

$(VENV)/.installed: requirements.lock $(wildcard packages/*/pyproject.toml)
	$(PYTHON) -m venv $(VENV)
	$(BIN)/pip install --quiet -r requirements.lock
	$(BIN)/pip install --quiet --no-deps --no-build-isolation $(EDITABLE)
	touch $@

demo: $(VENV)/.installed
	$(BIN)/spanfall demo

test: $(VENV)/.installed
	$(BIN)/pytest

fmt: $(VENV)/.installed
	$(BIN)/ruff format packages tests bench

lint: $(VENV)/.installed
	$(BIN)/ruff format --check packages tests bench
	$(BIN)/ruff check packages tests bench
	$(BIN)/flake8 packages tests bench
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
