"""Stand-ins, load generator and experiments of bluebellslip; not shipped."""
