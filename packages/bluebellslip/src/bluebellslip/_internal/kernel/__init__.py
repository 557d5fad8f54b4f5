"""The kernel: clock, registries, ports and the state that plug-ins share."""
