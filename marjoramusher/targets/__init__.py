"""HTTP interface and client for runners."""
