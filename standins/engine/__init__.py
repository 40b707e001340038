"""Stand in for a model engine: batching, prefix cache, orders, KV moves."""
