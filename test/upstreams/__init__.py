"""Test the clients of engines and plain services."""
