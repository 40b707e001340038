"""Test the platform clients and their stand-in."""
