"""The bluebellslip node: a sidecar process beside each backend server."""
