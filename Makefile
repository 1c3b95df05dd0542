PYTHON ?= python3
VENV ?= .venv
BIN = $(VENV)/bin

.PHONY: demo test lint wire docs spec bench install

install: $(BIN)/egrethook

$(BIN)/egrethook: pyproject.toml
	$(PYTHON) -m venv $(VENV)
	$(BIN)/pip install --quiet --editable '.[dev]'
	touch $@

demo: install  ## Install and run the demo.
	$(BIN)/egrethook demo

test: install  ## Install and run the tests.
	$(BIN)/python -m pytest

lint: install  ## Check formatting, style and types.
	$(BIN)/ruff format --check .
	$(BIN)/ruff check .
	$(BIN)/mypy

wire:  ## Generate the thrift code anew; needs the thrift compiler.
	for file in idl/*.thrift; do thrift --gen py -out . $$file; done
	rm -f __init__.py
	printf '"""Code generated from idl/."""\n' > egrethook/wire/__init__.py

spec:  ## Check the models with spin, where it is installed.
	specs/check.sh

bench: install  ## Run all benchmarks; fails if a target is missed.
	$(BIN)/python -m benchmarks

docs: install  ## Write the pages that are made from the code.
	$(BIN)/egrethook reference --write docs
