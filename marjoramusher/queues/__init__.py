"""Queues to which callers submit workflows."""
