"""Shared helpers for HTTP serving, logs, clocks, TLS and auditing."""
