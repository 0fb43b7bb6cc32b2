"""Data types, error codes and protocols that all other packages share."""
