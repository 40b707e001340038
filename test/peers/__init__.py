"""Test the links, membership and spread between nodes."""
