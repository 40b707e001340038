"""Stand in for a plain service with unrepeatable and idempotent calls."""
