# Another virtual environment can be named with `make VENV=/path ...`.
VENV ?= .venv
PYTHON = $(VENV)/bin/python
STAMP = $(VENV)/.berylchute-stamp

.PHONY: setup test lint demo

setup: $(STAMP)

$(STAMP): requirements/dev.txt
	test -x $(PYTHON) || python3 -m venv $(VENV)
	$(PYTHON) -m pip install --quiet --requirement requirements/dev.txt
	touch $(STAMP)

lint: setup
	$(PYTHON) -m black --check --quiet berylchute platform lab tests
	$(PYTHON) -m ruff check berylchute platform lab tests
	$(PYTHON) -m mypy

test: setup
	HYPOTHESIS_PROFILE=ci $(PYTHON) -m pytest

demo: setup
	$(PYTHON) -m lab.demo
