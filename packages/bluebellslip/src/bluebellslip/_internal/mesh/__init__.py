"""The active configuration and its routing table."""
