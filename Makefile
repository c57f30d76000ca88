# `make demo` and `make test` set up everything they need; only Python and make
# have to be installed.

PYTHON ?= python3
VENV := .venv
BIN := $(VENV)/bin
STAMP := $(VENV)/.installed

.PHONY: demo test check unit features binary lock clean

$(STAMP): pyproject.toml requirements.lock
	$(PYTHON) -m venv $(VENV)
	$(BIN)/python -m pip install --quiet -r requirements.lock
	$(BIN)/python -m pip install --quiet --no-deps --no-build-isolation -e .
	touch $@

demo: $(STAMP)
	$(BIN)/python -m arbutusflow.standins.demo examples/ecuador.yaml

test: check unit

check: $(STAMP)
	$(BIN)/ruff format --check .
	$(BIN)/ruff check .
	$(BIN)/mypy
	$(BIN)/lint-imports

unit: $(STAMP)
	$(BIN)/python -m pytest

lock: pyproject.toml
	$(BIN)/pip-compile --quiet --extra dev --strip-extras --allow-unsafe --no-emit-index-url \
		--no-emit-find-links --no-emit-options --output-file requirements.lock pyproject.toml

clean:
	rm -rf $(VENV) build dist
