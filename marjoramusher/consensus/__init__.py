"""Raft as a pure state machine: events in, effects out."""
