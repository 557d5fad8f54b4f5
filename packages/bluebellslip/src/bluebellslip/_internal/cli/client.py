"""A client of the administration API with failover between nodes."""

import dataclasses
import datetime as dt
from collections.abc import Callable, Iterator
from random import Random
from typing import Final, TypeVar

import msgspec

from bluebellslip._internal.cli.transport import (
    AdminRequest,
    AdminResponse,
    ResponseLostError,
    Transport,
)
from bluebellslip._internal.exceptions import (
    BluebellError,
    ErrorKind,
    NodeUnreachableError,
    OutcomeUnknownError,
)
from bluebellslip._internal.models.admin import ErrorBody
from bluebellslip._internal.utils.decoding import DECODING_ERRORS

_Model = TypeVar('_Model', bound=msgspec.Struct)

_MAX_ROUNDS: Final = 3
_BACKOFF_BASE: Final = dt.timedelta(milliseconds=200)
_OK: Final = 200
_TRANSIENT_KINDS: Final = frozenset((
    ErrorKind.NOT_READY,
    ErrorKind.OVERLOADED,
    ErrorKind.DRAINING,
    ErrorKind.PLATFORM_DOWN,
    ErrorKind.PLATFORM_UNKNOWN,
    ErrorKind.PLATFORM_GARBLED,
))


@dataclasses.dataclass(frozen=True, slots=True)
class ClientOptions:
    """The admin addresses of the nodes to call, and the token to send."""

    nodes: tuple[str, ...]
    token: str = ''


class AdminClient:
    """Calls the administration API, with retries on the other nodes.

    Requests to apply a configuration or to begin a move carry an identifier,
    so that they take effect only once.

    Parameters
    ----------
    options
        The nodes to try in turn, and the token.
    transport
        Sends the requests.
    sleep
        Waits for a number of seconds between rounds.
    random
        The source of jitter.
    """

    def __init__(
        self,
        options: ClientOptions,
        transport: Transport,
        sleep: Callable[[float], None],
        random: Random,
    ) -> None:
        self._options = options
        self._transport = transport
        self._sleep = sleep
        self._random = random

    def get(self, target: str, model: type[_Model]) -> _Model:
        """Send a GET request to the nodes in turn, as described in ``call``."""
        return self.call('GET', target, model)

    def call(
        self,
        method: str,
        target: str,
        model: type[_Model],
        body: msgspec.Struct | None = None,
    ) -> _Model:
        """Call the nodes in turn until one responds without a transient error.

        Raises
        ------
        OutcomeUnknownError
            If all attempts failed and one of them may have made a change.
        BluebellError
            The first error that is not transient, or else the last error.
        """
        encoded = b'' if body is None else msgspec.json.encode(body)
        failures: list[BluebellError] = []
        for node in self._iter_nodes():
            request = AdminRequest(
                node, method, target, self._options.token, encoded
            )
            try:
                return decode_response(
                    self._transport.send(request), node, model
                )
            except BluebellError as error:
                if not _is_transient(error):
                    raise
                failures.append(error)
        raise _summarise_failures(method, failures)

    def pause(self, duration: dt.timedelta) -> None:
        """Wait before the next call."""
        self._sleep(duration.total_seconds())

    def _iter_nodes(self) -> Iterator[str]:
        for round_number in range(_MAX_ROUNDS):
            if round_number:
                max_delay = _BACKOFF_BASE * 2**round_number
                self._sleep(max_delay.total_seconds() * self._random.random())
            yield from self._options.nodes


def decode_response(
    response: AdminResponse, node: str, model: type[_Model]
) -> _Model:
    """Decode a node's response into a model.

    Raises
    ------
    BluebellError
        The error that the node returned, or an internal error if the response
        is invalid.
    """
    if response.status != _OK:
        raise decode_error_response(response, node)
    try:
        return msgspec.json.decode(response.body, type=model)
    except DECODING_ERRORS as fault:
        raise BluebellError(
            'A node sent an invalid response.',
            context={'node': node, 'found': str(fault)},
            hint='Check that the address is the admin address of a node.',
        ) from fault


def decode_error_response(response: AdminResponse, node: str) -> BluebellError:
    """Return a node's error as an instance of the class for its kind."""
    try:
        body = msgspec.json.decode(response.body, type=ErrorBody)
        kind = ErrorKind(body.kind)
    except DECODING_ERRORS:
        if response.status == _SERVICE_UNAVAILABLE:
            kind = ErrorKind.OVERLOADED
        else:
            kind = ErrorKind.INTERNAL
        body = ErrorBody(
            kind=kind,
            message='A node refused the call without a valid error body.',
            context={'status': str(response.status)},
            hint='Check that the address is the admin address of a node.',
        )
    error_class = _map_error_classes(BluebellError).get(kind, BluebellError)
    return error_class(
        body.message, context={**body.context, 'node': node}, hint=body.hint
    )


_SERVICE_UNAVAILABLE: Final = 503


def _map_error_classes(
    base: type[BluebellError],
) -> dict[ErrorKind, type[BluebellError]]:
    """Return each kind's class; subclasses that inherit a kind are ignored."""
    classes = {base.kind: base}
    for child in base.__subclasses__():
        for kind, error_class in _map_error_classes(child).items():
            classes.setdefault(kind, error_class)
    return classes


def _summarise_failures(
    method: str, failures: list[BluebellError]
) -> BluebellError:
    """Return the error to raise for all failed attempts of a call."""
    if not failures:
        return NodeUnreachableError('No node address was given.')
    last = failures[-1]
    if method != 'GET' and any(map(_may_have_run, failures)):
        return OutcomeUnknownError(
            'It is unknown whether the change was accepted.',
            context={**last.context, 'last': last.message},
            hint='See "bluebell status" for the outcome before you retry.',
        )
    return last


def _is_transient(error: BluebellError) -> bool:
    return (
        isinstance(error, NodeUnreachableError)
        or error.kind in _TRANSIENT_KINDS
    )


def _may_have_run(error: BluebellError) -> bool:
    return (
        isinstance(error, ResponseLostError)
        or error.kind is ErrorKind.PLATFORM_UNKNOWN
    )
