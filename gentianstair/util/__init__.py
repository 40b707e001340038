"""Hold small helpers that know nothing of serving."""
