"""Distribution of accepted configurations to all nodes."""
