"""Membership: nodes learn by gossip which nodes are in the mesh and alive."""
