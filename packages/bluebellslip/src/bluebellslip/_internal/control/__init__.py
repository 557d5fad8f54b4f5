"""Reads and writes of a node in the platform's store."""
