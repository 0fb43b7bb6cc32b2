"""Durable state of an instance in its data folder."""
