"""soak: Random faults on real processes, and the promises that must hold meanwhile."""
