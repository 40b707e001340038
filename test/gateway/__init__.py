"""Test the gateway."""
