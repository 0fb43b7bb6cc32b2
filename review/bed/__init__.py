"""Test bed of the second review: the platform's side, on loopback addresses."""
