"""Test what both interfaces build on."""
