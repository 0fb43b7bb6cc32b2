"""Routing decisions for short requests."""
