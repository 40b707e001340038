"""Meet engines and plain services."""
