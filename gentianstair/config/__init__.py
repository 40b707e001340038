"""Hold the configuration a node has in force."""
