"""Jobs and allocations of a failure domain as a deterministic state machine."""
