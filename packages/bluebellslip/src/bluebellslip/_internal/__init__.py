"""Everything of bluebellslip that is not promised to importers."""
