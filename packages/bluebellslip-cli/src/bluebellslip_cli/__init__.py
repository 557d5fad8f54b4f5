"""Command-line interface of bluebellslip for operators."""
