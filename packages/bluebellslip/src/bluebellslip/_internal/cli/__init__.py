"""The command line: parser, options, status codes."""
