"""Run consensus groups on storage and transport."""
