"""Test the small helpers."""
