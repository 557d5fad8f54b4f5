"""What all commands have in common."""

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
        Takes what is printed.
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
        """Build the command for this process."""
        client = AdminClient(
            ClientOptions(options.nodes, options.token),
            HttpTransport(),
            time.sleep,
            SystemRandom(),
        )
        return cls(Console(options.as_json), client, SystemClock())

    @abc.abstractmethod
    def run(self, *args: Any, **kwargs: Any) -> int:
        """Do the work and return the exit status.

        Commands add parameters with defaults or annotations of typer; the
        parser reads them from the signature.
        """


def make_change_id() -> str:
    """Return a fresh id by which a change is recognised when repeated."""
    return secrets.token_hex(_CHANGE_ID_BYTES)


@contextlib.contextmanager
def report_change_id(change: str) -> Generator[None, None, None]:
    """Tell the id of a change whose outcome is unknown, to repeat it by."""
    try:
        yield
    except OutcomeUnknownError as error:
        error.context['change'] = change
        error.hint = f'Repeat it with --change {change}: it runs only once.'
        raise
