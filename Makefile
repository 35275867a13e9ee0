# Every target makes its own virtual environment first.
PYTHON ?= python3
VENV := .venv
BIN := $(VENV)/bin
PACKAGES := $(sort $(wildcard libs/*/pyproject.toml apps/*/pyproject.toml platform/pyproject.toml))
INSTALLED := $(VENV)/.installed

.PHONY: install pages test lint format demo measure clean

install: $(INSTALLED)

$(INSTALLED): requirements-dev.txt $(PACKAGES)
	$(PYTHON) -m venv $(VENV)
	$(BIN)/pip install -q setuptools wheel -r requirements-dev.txt
	$(BIN)/pip install -q --no-build-isolation \
	  $(foreach p,$(PACKAGES),-e $(patsubst %/,%,$(dir $(p))))
	touch $@

lint: install
	$(BIN)/ruff format --check .
	$(BIN)/ruff check .

format: install
	$(BIN)/ruff format .
	$(BIN)/ruff check --fix .

test: lint
	$(BIN)/pytest

# Rewrites the pages that are made from the code.
pages: install
	sed -i '/^| code/,$$d' docs/result-codes.md
	$(BIN)/python -m shallotstand.core.codes >> docs/result-codes.md
	sed -i '/^| exit/,$$d' docs/exit-codes.md
	$(BIN)/python -m shallotstand.cli.exits >> docs/exit-codes.md
	$(BIN)/python -m pages

demo: install
	$(BIN)/python -m shallotstand.standins.demo

measure: install
	$(BIN)/python -m measure

clean:
	rm -rf $(VENV)
