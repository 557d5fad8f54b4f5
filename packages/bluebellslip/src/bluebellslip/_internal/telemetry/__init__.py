"""Metrics and logs of a process."""
