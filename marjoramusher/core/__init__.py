"""Immutable records and small protocols that every other package shares."""
