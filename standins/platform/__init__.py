"""Stand in for the platform: objects, watches, orders, reports, VM list."""
