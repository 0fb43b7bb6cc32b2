"""Settings and wiring of the daemon."""
