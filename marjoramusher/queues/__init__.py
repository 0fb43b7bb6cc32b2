"""Queues that callers submit workflows to, at the leader and at entry instances."""
