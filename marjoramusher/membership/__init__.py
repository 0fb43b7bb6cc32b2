"""Table of instances, kept by heartbeats."""
