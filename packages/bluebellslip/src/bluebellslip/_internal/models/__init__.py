"""Data types of the system; no module here does input or output."""
