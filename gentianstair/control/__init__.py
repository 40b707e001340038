"""Control plane: leases, orders to upstreams, role planning and usage."""
