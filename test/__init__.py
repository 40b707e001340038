"""Test gentianstair; the layout mirrors the package."""
