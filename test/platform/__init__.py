"""Test the adapter of the users' platform."""
