"""State machine of the operators' versioned records, with history and rollback."""
