"""Join the processes of the fleet to one another."""
