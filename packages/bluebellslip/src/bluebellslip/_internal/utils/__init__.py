"""Small helpers, one topic per module."""
