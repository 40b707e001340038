"""Test the request handling that the entry process and gateway share."""
