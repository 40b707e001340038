"""Serve callers: keys, admission, routing and relay."""
