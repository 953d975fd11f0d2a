PYTHON ?= python3
VENV ?= .venv
BIN := $(VENV)/bin
STAMP := $(VENV)/.installed

.PHONY: demo test lint format dist clean

$(STAMP): requirements.lock
	$(PYTHON) -m venv $(VENV)
	$(BIN)/pip install --quiet --disable-pip-version-check --requirement requirements.lock
	touch $(STAMP)

demo: $(STAMP)
	$(BIN)/python -m bench demo

lint: $(STAMP)
	$(BIN)/ruff check .
	$(BIN)/black --check --quiet .

test: lint
	$(BIN)/python -m pytest -n 4 --dist loadfile -rx

format: $(STAMP)
	$(BIN)/ruff check --fix .
	$(BIN)/black --quiet .

dist: $(STAMP)
	$(BIN)/python -m bench.dist

clean:
	rm -rf $(VENV) dist
