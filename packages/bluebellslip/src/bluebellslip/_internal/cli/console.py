"""Output of commands."""

import sys
from collections.abc import Callable
from typing import Any

import msgspec

from bluebellslip._internal.exceptions import BluebellError
from bluebellslip._internal.models.admin import ErrorBody

PrintLine = Callable[[str], None]


def _print_out(text: str) -> None:
    sys.stdout.write(f'{text}\n')
    sys.stdout.flush()


def _print_error(text: str) -> None:
    sys.stderr.write(f'{text}\n')


class Console:
    """Prints results as text or as JSON, and errors to standard error.

    Parameters
    ----------
    as_json
        Whether results and errors are printed as JSON, one line each.
    out
        Prints results.
    err
        Prints errors.
    """

    def __init__(
        self,
        as_json: bool,
        out: PrintLine = _print_out,
        err: PrintLine = _print_error,
    ) -> None:
        self._as_json = as_json
        self._out = out
        self._err = err

    def show(self, body: Any, text: str) -> None:
        """Print a result as JSON or as the given text."""
        self._out(msgspec.json.encode(body).decode() if self._as_json else text)

    def show_error(self, error: BluebellError) -> None:
        """Print an error with its context and hint."""
        if self._as_json:
            body = ErrorBody(
                kind=error.kind,
                message=error.message,
                context=error.context,
                hint=error.hint,
            )
            self._err(msgspec.json.encode(body).decode())
            return
        lines = [f'Error ({error.kind}): {error.message}']
        lines += [f'  {name}: {text}' for name, text in error.context.items()]
        if error.hint:
            lines.append(f'  hint: {error.hint}')
        self._err('\n'.join(lines))
