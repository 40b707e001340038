"""Test the configuration."""
