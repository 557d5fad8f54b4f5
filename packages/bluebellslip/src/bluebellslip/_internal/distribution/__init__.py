"""Distribution: how an accepted configuration comes into force everywhere."""
