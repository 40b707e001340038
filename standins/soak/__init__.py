"""A fault soak: real gateway processes under faults from outside them."""
