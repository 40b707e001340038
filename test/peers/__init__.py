"""Test links, membership and configuration between nodes."""
