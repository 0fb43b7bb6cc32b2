"""Benchmarks of routing, placement, workflows and processes."""
