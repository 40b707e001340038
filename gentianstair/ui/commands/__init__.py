"""Hold one module for each operator command."""
