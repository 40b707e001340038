"""Hold the operators' command line."""
