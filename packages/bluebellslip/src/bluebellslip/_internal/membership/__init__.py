"""Membership: which nodes are in the mesh and alive, spread by gossip."""
