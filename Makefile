# Another virtual environment can be named with `make VENV=/path ...`.
VENV ?= .venv
PYTHON = $(VENV)/bin/python
STAMP = $(VENV)/.berylchute-stamp

SEEDS ?= 2
SECONDS ?= 8

.PHONY: setup test crowd lint demo soak soak-regressions

setup: $(STAMP)

$(STAMP): requirements/dev.txt
	test -x $(PYTHON) || python3 -m venv $(VENV)
	$(PYTHON) -m pip install --quiet --requirement requirements/dev.txt
	touch $(STAMP)

lint: setup
	$(PYTHON) -m black --check --quiet berylchute platform lab soak tests
	$(PYTHON) -m ruff check berylchute platform lab soak tests
	$(PYTHON) -m mypy

test: setup
	HYPOTHESIS_PROFILE=ci $(PYTHON) -m pytest -m "not crowd"

# Apart from the other tests: each case takes up to a minute and much of a processor.
crowd: setup
	HYPOTHESIS_PROFILE=ci $(PYTHON) -m pytest -m crowd tests/crowd

demo: setup
	$(PYTHON) -m lab.demo

soak-regressions: setup
	PYTHONPATH=platform $(PYTHON) -m soak --regressions

soak: setup
	PYTHONPATH=platform $(PYTHON) -m soak --seeds $(SEEDS) --seconds $(SECONDS) $(if $(FIRST),--first $(FIRST))
