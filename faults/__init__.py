"""Fault runs against real processes and the history checker."""
