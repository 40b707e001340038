"""Serve language-model requests from a limited fleet of engines."""
