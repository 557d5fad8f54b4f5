"""Node processes: settings, assembly of the components, start and stop."""
