"""The operator's command line of bluebellslip."""
