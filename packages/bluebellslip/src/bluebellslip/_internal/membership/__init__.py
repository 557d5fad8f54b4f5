"""Membership: who is there, who is leaving, and how all get to know."""
