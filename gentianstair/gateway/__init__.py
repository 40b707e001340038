"""Serve the callers of a fixed fleet: one process on each entry VM."""
