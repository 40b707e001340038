"""Test the control plane."""
