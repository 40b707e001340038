"""Test the translation of the platform's formats."""
