"""Translate between the platform's formats and the gateway's types.

Only this package knows the names in the platform's objects, HTTP messages
and settings file.
"""
