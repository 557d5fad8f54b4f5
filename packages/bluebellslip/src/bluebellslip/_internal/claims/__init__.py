"""At-most-once work: claims in the platform's table."""
