"""A client beside a node; it retries calls reported as not run."""

import dataclasses
import datetime as dt
import hashlib
from typing import Final

import anyio
import msgspec

from bluebellslip._internal.models.identity import Address
from bluebellslip._internal.utils.decoding import DECODING_ERRORS
from bluebellslip_lab.backend_app import (
    IDEMPOTENCY_KEY_HEADER,
    NONCE_HEADER,
    VERSION_HEADER,
    Echo,
)
from bluebellslip_lab.history import CallRecord, ReportedOutcome
from bluebellslip_lab.http_client import (
    ConnectFailedError,
    Headers,
    HttpClient,
    HttpResponse,
    IncompleteResponseError,
)
from bluebellslip_lab.traffic import CallClass

_NOT_RUN_HEADER: Final = b'bluebell-not-run'
_TIMEOUT_HEADER: Final = b'bluebell-timeout-ms'
_RETRY_AFTER_HEADER: Final = b'retry-after'
_ERROR_HEADER: Final = b'bluebell-error'
_MAX_RETRY_WAIT: Final = dt.timedelta(seconds=1)
_MS: Final = dt.timedelta(milliseconds=1)
_REQUEST_ERRORS: Final = (
    ConnectFailedError,
    IncompleteResponseError,
    TimeoutError,
)


@dataclasses.dataclass(frozen=True, slots=True)
class Attempt:
    """One request of a call, and its outcome.

    ``version`` is that of the backend server, empty if none responded.
    ``error`` is the error kind that the mesh reported, or else a description
    of the failure. It is empty for a successful response, and for one that
    reports the request as not run without an error kind. ``retry_after`` is
    the delay before the next attempt that the response requests, or
    ``_MAX_RETRY_WAIT`` if there was no complete response.
    """

    record: CallRecord
    version: str
    error: str
    retry_after: dt.timedelta

    @property
    def outcome(self) -> ReportedOutcome:
        """The outcome that was reported to the caller."""
        return self.record.outcome


class Caller:
    """Sends calls through one node.

    Parameters
    ----------
    egress
        The node's egress address: host and port.
    """

    def __init__(self, egress: str) -> None:
        address = Address.from_text(egress)
        self._egress = egress
        self._client = HttpClient(address.host, address.port)

    @property
    def egress(self) -> str:
        """Egress address of the node."""
        return self._egress

    async def call(
        self, call_class: CallClass, name: str, copy_id: str = 'a'
    ) -> list[Attempt]:
        """Send a call and retry it while it is known not to have run.

        ``copy_id`` distinguishes concurrent calls with the same name.
        """
        attempts: list[Attempt] = []
        body = build_body(call_class, name)
        while len(attempts) < call_class.attempts:
            nonce = f'{name}/{copy_id}{len(attempts)}'
            attempt = await self._send(call_class, name, nonce, body)
            attempts.append(attempt)
            if attempt.outcome is not ReportedOutcome.NOT_DONE:
                break
            await anyio.sleep(
                min(attempt.retry_after, _MAX_RETRY_WAIT).total_seconds()
            )
        return attempts

    async def aclose(self) -> None:
        """Close the connections."""
        await self._client.aclose()

    async def _send(
        self, call_class: CallClass, name: str, nonce: str, body: bytes
    ) -> Attempt:
        key = name if call_class.once else ''
        headers: Headers = (
            (b'host', call_class.service.encode()),
            (NONCE_HEADER, nonce.encode()),
            (_TIMEOUT_HEADER, str(call_class.timeout_ms).encode()),
        )
        if key:
            headers = (*headers, (IDEMPOTENCY_KEY_HEADER, key.encode()))
        try:
            with anyio.fail_after(
                (2 * call_class.timeout_ms * _MS).total_seconds()
            ):
                response = await self._client.request(
                    call_class.method, call_class.path, headers, body
                )
        except _REQUEST_ERRORS as error:
            outcome = _classify_failure(error)
            record = CallRecord(nonce, outcome, key=key)
            return Attempt(record, '', repr(error), _MAX_RETRY_WAIT)
        return interpret_response(response, nonce, key, body)


def build_body(call_class: CallClass, name: str) -> bytes:
    """Return a call's body: its name, repeated to the configured length."""
    if not call_class.body_bytes:
        return b''
    pattern = f'{name}\n'.encode()
    repetitions = call_class.body_bytes // len(pattern) + 1
    return (pattern * repetitions)[: call_class.body_bytes]


def interpret_response(
    response: HttpResponse, nonce: str, key: str, body: bytes
) -> Attempt:
    """Return the attempt with the outcome that a response reports."""
    headers = response.headers
    response_matches = True
    if headers.get(_NOT_RUN_HEADER) == b'1':
        outcome = ReportedOutcome.NOT_DONE
    elif response.status == 200:
        outcome = ReportedOutcome.DONE
        response_matches = matches_request(response.body, nonce, body)
    else:
        outcome = ReportedOutcome.UNKNOWN
    retry_after = headers.get(_RETRY_AFTER_HEADER, b'0')
    error = headers.get(_ERROR_HEADER, b'').decode()
    if outcome is ReportedOutcome.UNKNOWN and not error:
        error = f'status {response.status}'
    return Attempt(
        CallRecord(nonce, outcome, response_matches=response_matches, key=key),
        headers.get(VERSION_HEADER, b'').decode(),
        error,
        dt.timedelta(seconds=float(retry_after)),
    )


def matches_request(content: bytes, nonce: str, body: bytes) -> bool:
    """Return whether a response echoes this call and its whole request body.

    A retry with the same idempotency key may receive the response to an
    earlier attempt, so only the call's name in the nonce is compared.
    """
    try:
        echo = msgspec.json.decode(content, type=Echo)
    except DECODING_ERRORS:
        return False
    if echo.nonce.rpartition('/')[0] != nonce.rpartition('/')[0]:
        return False
    body_is_complete = echo.received == len(body)
    return body_is_complete and echo.sha256 == hashlib.sha256(body).hexdigest()


def _classify_failure(error: Exception) -> ReportedOutcome:
    refused = isinstance(error, ConnectFailedError)
    return ReportedOutcome.NOT_DONE if refused else ReportedOutcome.UNKNOWN
