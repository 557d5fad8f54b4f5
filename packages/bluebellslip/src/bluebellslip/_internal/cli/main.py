"""The command line's entry point."""

import typer

app = typer.Typer(no_args_is_help=True)


@app.callback()
def describe() -> None:
    """Operate a bluebellslip mesh."""


def run_command_line() -> None:
    """Parse the arguments and run a command."""
    app()
