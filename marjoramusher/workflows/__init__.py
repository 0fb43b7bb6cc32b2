"""Workflows: jobs of several steps, submitted to queues and run on workers."""
