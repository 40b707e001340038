"""Tests of the shared helpers."""
