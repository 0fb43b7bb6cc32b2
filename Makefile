VENV := .venv
PY := $(VENV)/bin/python
STAMP := $(VENV)/.installed
export PYTHONDONTWRITEBYTECODE = 1

.PHONY: test lint format demo demo-six bench slopes faults clean

$(STAMP): requirements.txt pyproject.toml
	test -x $(PY) || python3 -m venv $(VENV)
	$(PY) -m pip install --quiet -r requirements.txt
	$(PY) -m pip install --quiet --no-deps --no-build-isolation -e .
	touch $(STAMP)

lint: $(STAMP)
	$(VENV)/bin/ruff format --check .
	$(VENV)/bin/ruff check .
	$(VENV)/bin/lint-imports

format: $(STAMP)
	$(VENV)/bin/ruff format .
	$(VENV)/bin/ruff check --fix .

test: lint
	$(PY) -m pytest

demo: $(STAMP)
	$(PY) -m demo.main

demo-six: $(STAMP)
	$(PY) -m demo.main --instances 6

bench: $(STAMP)
	$(PY) -m bench.main

slopes: $(STAMP)
	$(PY) -m bench.slopes

faults: $(STAMP)
	$(PY) -m faults.main

clean:
	rm -rf $(VENV) .run
