"""Operators' versioned records: schemas, state machine, history and rollback."""
