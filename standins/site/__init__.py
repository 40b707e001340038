"""Stand in for the users' platform: store, replicas, cloud, operator."""
