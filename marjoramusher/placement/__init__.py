"""Placement decisions for gangs of accelerators."""
