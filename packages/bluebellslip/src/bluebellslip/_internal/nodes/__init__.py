"""The node process: its plug-ins, assembled."""
