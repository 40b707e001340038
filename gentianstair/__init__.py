"""Serve LLM requests from a fleet of inference engines."""
