"""Command line interface for operators and client accounts."""
