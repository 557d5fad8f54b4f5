"""The commands of the command line, one class per module."""
