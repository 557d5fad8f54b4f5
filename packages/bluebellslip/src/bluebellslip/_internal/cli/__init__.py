"""The command line: parser, options, client and exit codes."""
