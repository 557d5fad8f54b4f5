"""Thin entry point of the binary."""


def main() -> None:
    """Run the command line."""
    from bluebellslip._internal.cli.main import run_command_line

    run_command_line()
