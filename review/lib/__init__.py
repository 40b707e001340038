"""Stand-ins and a runner for the scripts of the review."""
