"""Meet the platform: its object store, orders and usage reports."""
