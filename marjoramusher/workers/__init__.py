"""HTTP interface and client for workers."""
