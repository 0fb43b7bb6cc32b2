"""Durable state in one data folder."""
