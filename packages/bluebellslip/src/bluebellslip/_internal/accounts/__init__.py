"""Client accounts: their keys, and limits on their requests."""
