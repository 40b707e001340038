"""Serve caller requests: keys, admission, routing and relaying."""
