"""Plan and order what upstreams do, under a lease."""
