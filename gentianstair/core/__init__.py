"""What serving a request takes, whichever interface it came by."""
