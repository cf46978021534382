"""knapweeddeal.timeconstants: Sentinel values for timestamps."""

__all__ = ["NEVER_MS"]

#: Timestamp of an event that never happened: longer ago than any time limit.
NEVER_MS = -(10**15)
