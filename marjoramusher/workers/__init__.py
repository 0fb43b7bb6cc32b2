"""Leadership of a failure domain: gangs, calls to workers, and the jobs service."""
