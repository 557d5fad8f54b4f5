"""Limits on the requests of client accounts, shared by all nodes."""
