"""Clients of the platform: object store, orders, usage reports, VMs."""
