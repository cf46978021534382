"""tests: Tests of knapweeddeal, one module per tested module."""
