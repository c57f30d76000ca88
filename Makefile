# `make demo` and `make test` create the virtual environment that they need; only Python
# and make have to be installed.

PYTHON ?= python3
VENV := .venv
BIN := $(VENV)/bin
STAMP := $(VENV)/.installed
SOURCES := $(shell find arbutusflow -name '*.py')

.PHONY: demo test check format lint types layers unit hostile features binary
.PHONY: binary-check
.PHONY: reference lock clean

$(STAMP): pyproject.toml requirements.lock
	@$(PYTHON) -c 'import sys; sys.exit(None if sys.version_info >= (3, 11) else \
		"Python 3.11 or later is needed; name one with PYTHON=...")'
	$(PYTHON) -m venv $(VENV)
	$(BIN)/python -m pip install --quiet -r requirements.lock
	$(BIN)/python -m pip install --quiet --no-deps --no-build-isolation -e .
	touch $@

demo: $(STAMP)
	$(BIN)/python -m arbutusflow.standins.demo

# Each core runs one worker, up to this number: some tests run five processes of their
# own, whose deadlines need free cores.
MAX_WORKERS ?= 4

# The checks run side by side, each with its output in one piece. The tests run last, so
# that the output ends with the summary of pytest.
test: $(STAMP)
	$(MAKE) --no-print-directory --jobs=4 --output-sync=target check features binary-check
	$(MAKE) --no-print-directory unit
	$(MAKE) --no-print-directory hostile

check: format lint types layers

format: $(STAMP)
	$(BIN)/ruff format --check .

lint: $(STAMP)
	$(BIN)/ruff check .

types: $(STAMP)
	$(BIN)/mypy

layers: $(STAMP)
	$(BIN)/lint-imports

unit: $(STAMP)
	$(BIN)/python -m pytest -m "not hostile" --numprocesses auto \
		--maxprocesses $(MAX_WORKERS) --dist worksteal

# One at a time and apart from other load: each test measures one process.
hostile: $(STAMP)
	$(BIN)/python -m pytest -m hostile tests/hostile

features: $(STAMP)
	@if ls features/*.feature >/dev/null 2>&1; then \
		$(BIN)/behave --format progress features; \
	else \
		echo "features: no feature files found"; \
	fi

# One executable file for hosts with Python 3.11; see docs/decisions/binary.md.
binary: dist/arbutusflow

dist/arbutusflow: $(STAMP) $(SOURCES)
	rm -rf build dist/arbutusflow
	$(BIN)/python -m pip install --quiet --no-build-isolation --no-compile \
		--constraint requirements.lock --target build/site .
	mkdir -p dist
	$(BIN)/shiv --compressed --reproducible --site-packages build/site \
		--entry-point arbutusflow.cli.main:main \
		--python "/usr/bin/env python3.11" --output-file $@

binary-check: dist/arbutusflow
	$(BIN)/python -m pytest tests/binary

reference: $(STAMP)
	$(BIN)/python -m arbutusflow reference settings > docs/reference/settings.md
	$(BIN)/python -m arbutusflow reference metrics > docs/reference/metrics.md

lock: pyproject.toml
	$(BIN)/pip-compile --quiet --extra dev --strip-extras --allow-unsafe --no-emit-index-url \
		--no-emit-find-links --no-emit-options --output-file requirements.lock pyproject.toml

clean:
	rm -rf $(VENV) build dist arbutusflow-demo.html
