# Each target sets up what it needs: a virtual environment from the lock.
VENV := .venv
PYTHON := $(VENV)/bin/python
STAMP := $(VENV)/.installed
PACKAGES := packages/bluebellslip packages/bluebellslip-node packages/bluebellslip-cli packages/bluebellslip-lab platform
SOURCES := packages platform tests bench
SEEDS := 1-4

.PHONY: setup compile test lint types format demo bench rollouts soak capacity check

setup: $(STAMP)

$(STAMP): requirements.lock $(PACKAGES:%=%/pyproject.toml)
	test -x $(PYTHON) || python3 -m venv $(VENV)
	$(VENV)/bin/pip install --quiet --requirement requirements.lock
	$(VENV)/bin/pip install --quiet --no-deps --no-build-isolation $(PACKAGES:%=--editable %)
	touch $(STAMP)

# Editable packages are not compiled on installing; a node that compiles at
# its start keeps more memory.
compile: setup
	$(PYTHON) -m compileall -q packages platform

test: setup
	$(PYTHON) -m pytest

lint: setup
	$(VENV)/bin/ruff format --check $(SOURCES)
	$(VENV)/bin/ruff check $(SOURCES)
	$(VENV)/bin/flake8 $(SOURCES)

types: setup
	$(VENV)/bin/mypy packages platform bench

format: setup
	$(VENV)/bin/ruff format $(SOURCES)
	$(VENV)/bin/ruff check --fix $(SOURCES)

check: lint types test

demo: compile
	$(PYTHON) -m bluebellslip_lab.demo

bench: compile
	$(PYTHON) -m bench

rollouts: setup
	PYTHONPATH=tests $(PYTHON) -m bench.rollouts

soak: compile
	PYTHONPATH=tests $(PYTHON) -m bench.soak --seeds $(SEEDS)

capacity: setup
	$(PYTHON) -m bench.capacity
