"""Test the entry process."""
