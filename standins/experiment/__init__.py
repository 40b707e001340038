"""Play a described site as real processes, under all its troubles at once."""
