"""Data of the system, without input or output."""
