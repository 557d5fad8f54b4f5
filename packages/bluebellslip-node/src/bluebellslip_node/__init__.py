"""The node of bluebellslip: one process beside each backend server."""
