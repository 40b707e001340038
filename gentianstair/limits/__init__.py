"""Enforce customers' rate limits over all entry VMs together."""
