"""Raft consensus as a pure state machine that turns events into effects."""
