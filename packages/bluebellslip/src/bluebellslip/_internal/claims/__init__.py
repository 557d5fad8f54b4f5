"""At-most-once execution through claims in the platform's table."""
