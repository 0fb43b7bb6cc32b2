"""Demonstration of a whole session."""
