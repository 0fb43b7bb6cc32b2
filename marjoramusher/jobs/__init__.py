"""Jobs and allocations as a pure state machine."""
