"""bench: Benchmarks; each runnable module prints its results."""
