"""Stand-ins and helpers of the scripts of the review."""
