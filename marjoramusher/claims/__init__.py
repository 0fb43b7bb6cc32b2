"""Idempotency claims and recorded answers as a pure state machine."""
