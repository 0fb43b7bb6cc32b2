"""Operators' versioned records as a pure state machine."""
