"""The configuration of a node: bundles, objects and snapshots."""
