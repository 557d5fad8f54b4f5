"""State of peer nodes and backend servers, exchanged by beacons."""
