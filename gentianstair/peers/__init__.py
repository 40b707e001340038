"""Link the VMs of the fleet: membership, configuration, summaries."""
