"""Membership: the table of instances, maintained by heartbeats."""
