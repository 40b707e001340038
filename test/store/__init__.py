"""Test the clients of the platform's store."""
