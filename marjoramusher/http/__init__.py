"""Helpers for all HTTP handlers: error responses, input limits and tokens."""
