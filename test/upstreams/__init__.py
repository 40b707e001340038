"""Test the HTTP clients of engines and other upstream services."""
