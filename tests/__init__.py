"""tests: Tests that mirror the modules of knapweeddeal."""
