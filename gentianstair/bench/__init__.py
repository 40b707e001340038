"""Hold the load and experiment tool, a module for each experiment."""
