"""Roll-outs: shifting a service's traffic to a new version within seconds."""
