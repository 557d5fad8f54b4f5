"""A node's access to the platform's store and its peers' configurations."""
