"""Execution of placed tasks on workers by the leader."""
