"""bench: Measurements; each module runs by itself and prints tables."""
