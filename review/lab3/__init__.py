"""Stand-ins and a launcher for the cases of the third review."""
