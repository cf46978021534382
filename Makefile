VENV = .venv
PYTHON = $(VENV)/bin/python
# Compiled libraries are for one interpreter and platform.
PLATFORM := $(shell python3 -c 'import sysconfig; print(sysconfig.get_config_var("SOABI"))')
STAMP = $(VENV)/.installed-$(PLATFORM)

.PHONY: run test lint specs bench soak

run: $(STAMP)
	$(PYTHON) -m demo

test: $(STAMP)
	$(PYTHON) -m tests

specs: $(STAMP)
	KNAPWEEDDEAL_SPECS=deep $(PYTHON) -m tests test_specs

bench: $(STAMP)
	$(PYTHON) -m bench.policy
	$(PYTHON) -m bench.capacity
	$(PYTHON) -m bench.streams
	$(PYTHON) -m bench.packets
	$(PYTHON) -m bench.egress
	$(PYTHON) -m bench.placement
	$(PYTHON) -m bench.sharedload

soak: $(STAMP)
	$(PYTHON) -m soak --fresh 10

lint: $(STAMP)
	$(VENV)/bin/ruff format --check .
	$(VENV)/bin/ruff check .

$(STAMP): pyproject.toml constraints.txt
	python3 -m venv --clear $(VENV)
	$(VENV)/bin/pip install --quiet --disable-pip-version-check -c constraints.txt -e '.[develop]'
	touch $(STAMP)
