"""The commands of the command line, one class a module."""
