"""Translate between the users' platform and the product.

Nothing outside this folder knows the platform's names: each name on the
wire is decoded here, once, into types of the product.
"""
