"""Moves of a service between versions: evidence, policy and steward."""
