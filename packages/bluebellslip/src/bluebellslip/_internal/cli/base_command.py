"""The base class of commands, and identifiers for changes."""

import abc
import contextlib
import secrets
import time
from collections.abc import Generator
from random import SystemRandom
from typing import Any, ClassVar, Final, Self

from bluebellslip._internal.cli.client import AdminClient, ClientOptions
from bluebellslip._internal.cli.console import Console
from bluebellslip._internal.cli.options import CommonOptions
from bluebellslip._internal.cli.transport import HttpTransport
from bluebellslip._internal.exceptions import OutcomeUnknownError
from bluebellslip._internal.kernel.clock import Clock, SystemClock

_CHANGE_ID_BYTES: Final = 12


class Command(abc.ABC):
    """One command of the command line.

    Parameters
    ----------
    console
        Prints results and errors.
    client
        Calls the administration API.
    clock
        The source of time.
    """

    needs_node: ClassVar[bool] = True

    def __init__(
        self, console: Console, client: AdminClient, clock: Clock
    ) -> None:
        self._console = console
        self._client = client
        self._clock = clock

    @classmethod
    def from_options(cls, options: CommonOptions) -> Self:
        """Build the command with a client for the nodes in the options."""
        client = AdminClient(
            ClientOptions(options.nodes, options.token),
            HttpTransport(),
            time.sleep,
            SystemRandom(),
        )
        return cls(Console(options.as_json), client, SystemClock())

    @abc.abstractmethod
    def run(self, *args: Any, **kwargs: Any) -> int:
        """Run the command and return its exit code.

        Subclasses declare their arguments and options as parameters with
        typer annotations; the parser reads them from the signature.
        """


def make_change_id() -> str:
    """Return a new identifier by which retries of a change are recognised."""
    return secrets.token_hex(_CHANGE_ID_BYTES)


@contextlib.contextmanager
def report_change_id(change: str) -> Generator[None, None, None]:
    """Add a change's identifier to errors that leave its outcome unknown."""
    try:
        yield
    except OutcomeUnknownError as error:
        error.context['change'] = change
        error.hint = (
            f'Retry with --change {change}: the change takes effect only once.'
        )
        raise
