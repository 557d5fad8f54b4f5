"""The command line parser, which imports commands only when needed."""

import functools
import importlib
import inspect
from collections.abc import Callable
from typing import Any

import typer
from typer.core import TyperGroup

from bluebellslip._internal.cli.base_command import Command
from bluebellslip._internal.cli.console import Console
from bluebellslip._internal.cli.exit_codes import find_exit_code
from bluebellslip._internal.cli.options import CommonOptions, list_parameters
from bluebellslip._internal.commands.registry import COMMANDS, CommandEntry
from bluebellslip._internal.exceptions import BluebellError


def build_app() -> typer.Typer:
    """Return the parser of the whole command line."""
    app = _build_group('Operate a bluebellslip mesh.', LazyGroup)
    config = _build_group('Check configuration and settings.', ConfigGroup)
    app.add_typer(config, name='config')
    return app


class LazyGroup(TyperGroup):
    """Finds commands in the registry and imports them only when needed.

    A run imports only its own command; the group's help imports all of them.
    The registered names of the group's commands begin with ``prefix``.
    """

    prefix = ''

    def list_commands(self, ctx: Any) -> list[str]:
        """Return the names of this group's commands."""
        names = [
            name.removeprefix(self.prefix)
            for name in COMMANDS
            if name.startswith(self.prefix)
        ]
        commands = [name for name in names if ' ' not in name]
        return commands + super().list_commands(ctx)

    def get_command(self, ctx: Any, cmd_name: str) -> Any:
        """Import and return a command."""
        entry = COMMANDS.get(f'{self.prefix}{cmd_name}')
        if entry is None:
            return super().get_command(ctx, cmd_name)
        return _build_command(cmd_name, entry)


class ConfigGroup(LazyGroup):
    """Commands that begin with ``config``."""

    prefix = 'config '


def _build_group(summary: str, group: type[TyperGroup]) -> typer.Typer:
    app = typer.Typer(
        cls=group,
        no_args_is_help=True,
        add_completion=False,
        rich_markup_mode=None,
        pretty_exceptions_enable=False,
        help=summary,
    )
    app.callback()(_do_nothing)
    return app


def _do_nothing() -> None:
    """Do nothing; typer requires a callback for a group."""


def _build_command(name: str, entry: CommandEntry) -> Any:
    module = importlib.import_module(entry.module)
    app = typer.Typer(rich_markup_mode=None, add_completion=False)
    callback = build_callback(getattr(module, entry.class_name))
    app.command(name, help=entry.summary)(callback)
    return typer.main.get_command(app)


def build_callback(command_class: type[Command]) -> Callable[..., None]:
    """Return a callback with the common options and ``run``'s parameters."""
    run_parameters = dict(
        inspect.signature(command_class.run, eval_str=True).parameters
    )
    run_parameters.pop('self')
    run_parameters.update(list_parameters(command_class.needs_node))
    callback = functools.partial(_run_and_exit, command_class)
    callback.__signature__ = inspect.Signature(  # type: ignore[attr-defined]
        [
            parameter.replace(kind=inspect.Parameter.KEYWORD_ONLY)
            for parameter in run_parameters.values()
        ]
    )
    callback.__annotations__ = {
        name: parameter.annotation for name, parameter in run_parameters.items()
    }
    return callback


def _run_and_exit(command_class: type[Command], /, **arguments: Any) -> None:
    raise typer.Exit(run_command(command_class, arguments))


def run_command(command_class: type[Command], arguments: dict[str, Any]) -> int:
    """Run a command and return its exit code; print the error if it fails."""
    options = CommonOptions.pop_from(arguments)
    try:
        return command_class.from_options(options).run(**arguments)
    except BluebellError as error:
        Console(options.as_json).show_error(error)
        return find_exit_code(error)
