"""Test the command line."""
