"""Entry point of the ``bluebell`` console script."""


def main() -> None:
    """Run the command given in ``sys.argv``."""
    from bluebellslip._internal.cli.main import run_command_line

    run_command_line()
