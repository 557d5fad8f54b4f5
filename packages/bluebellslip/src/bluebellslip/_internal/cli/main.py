"""The entry point of the command line."""

from bluebellslip._internal.cli.parser import build_app


def run_command_line() -> None:
    """Parse the arguments and run a command."""
    build_app()()
