"""Stand in for the outside systems in tests, demo and bench."""
