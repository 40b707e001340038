"""Test the entry."""
