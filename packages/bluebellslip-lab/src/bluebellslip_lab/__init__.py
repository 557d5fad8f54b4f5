"""Simulated servers, load generator and experiments; not shipped."""
