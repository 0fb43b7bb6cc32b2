"""Scheduler for accelerator gangs and short requests."""
