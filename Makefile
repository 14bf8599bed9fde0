PYTHON ?= python3
VENV ?= .venv
BIN := $(VENV)/bin
# Fixed seed for hash ordering, so that every run takes the same path.
export PYTHONHASHSEED := 0

.PHONY: demo test lint format fuzz fuzz-twice

$(VENV)/.installed: pyproject.toml
	$(PYTHON) -m venv $(VENV)
	$(BIN)/pip install --quiet --disable-pip-version-check -e '.[test]'
	touch $@

demo: $(VENV)/.installed
	bash demo/run.sh shortlist $(BIN)
	bash demo/run.sh repair $(BIN)

test: $(VENV)/.installed
	$(BIN)/python -m pytest

lint: $(VENV)/.installed
	$(BIN)/ruff format --check .
	$(BIN)/ruff check .
	$(BIN)/flake8

format: $(VENV)/.installed
	$(BIN)/ruff format .
	$(BIN)/ruff check --fix .

# Longer random runs of the stateful fuzzers.
fuzz: $(VENV)/.installed
	DAMASKPIN_FUZZ=long $(BIN)/python -m pytest tests -k fuzz --timeout 3600

# Random plays of each pair of the fault table, for example
# make fuzz-twice PLAYS=10000 SEED=500000. Broken plays are printed. TABLE=gangs
# plays gangs of which several members fail, TABLE=waits what keeps work waiting,
# TABLE=losses a fleet with wide jobs that loses all processes at once.
PLAYS ?= 2000
SEED ?= 100000
TABLE ?= faults
fuzz-twice: $(VENV)/.installed
	DAMASKPIN_FUZZ_PLAYS=$(PLAYS) DAMASKPIN_FUZZ_SEED=$(SEED) \
	  DAMASKPIN_FUZZ_TABLE=$(TABLE) \
	  $(BIN)/python -m tests.test_coordinator.play_fault_table
