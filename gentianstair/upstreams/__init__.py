"""HTTP clients of engines and other upstream services."""
