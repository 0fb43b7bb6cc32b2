"""What all HTTP handlers share: error bodies, bounded input and tokens."""
