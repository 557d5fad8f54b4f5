"""Client of the platform: its table service and its object store."""
