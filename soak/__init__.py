"""soak: Random fault injection on real processes, with checks of guarantees."""
