"""knapweeddeal.timeconstants: Instants of the clock that stand for something else."""

__all__ = ["NEVER_MS"]

#: When something last happened that never did: longer ago than any time limit.
NEVER_MS = -(10**15)
