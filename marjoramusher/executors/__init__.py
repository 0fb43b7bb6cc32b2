"""Carry the placements of the leader out on workers."""
