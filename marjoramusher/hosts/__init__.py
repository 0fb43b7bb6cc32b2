"""Hosts of workers, and the service that maintains them."""
