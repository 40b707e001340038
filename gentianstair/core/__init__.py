"""Request handling shared by the entry process and the gateway."""
