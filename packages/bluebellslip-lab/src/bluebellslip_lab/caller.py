"""One caller beside a node: sends a call until it has its final answer."""

import dataclasses
import datetime as dt
import hashlib
from typing import Final

import anyio
import msgspec

from bluebellslip._internal.models.identity import Address
from bluebellslip_lab.backend_app import (
    KEY_HEADER,
    NONCE_HEADER,
    VERSION_HEADER,
    Echo,
)
from bluebellslip_lab.history import CallRecord, Told
from bluebellslip_lab.http_client import (
    Answer,
    AnswerCutError,
    ConnectFailedError,
    Headers,
    HttpClient,
)
from bluebellslip_lab.traffic import CallClass

_NOT_RUN_HEADER: Final = b'bluebell-not-run'
_TIMEOUT_HEADER: Final = b'bluebell-timeout-ms'
_RETRY_HEADER: Final = b'retry-after'
_ERROR_HEADER: Final = b'bluebell-error'
_MAX_WAIT: Final = dt.timedelta(seconds=1)
_MS: Final = dt.timedelta(milliseconds=1)
_FAILURES: Final = (ConnectFailedError, AnswerCutError, TimeoutError)


@dataclasses.dataclass(frozen=True, slots=True)
class Attempt:
    """One request of a call, and what came of it.

    ``version`` is empty unless a backend server answered; ``error`` is the
    mesh's word for what went wrong.
    """

    record: CallRecord
    version: str
    error: str
    wait: dt.timedelta

    @property
    def told(self) -> Told:
        """What the caller was told."""
        return self.record.told


class Caller:
    """Sends calls through one node.

    Parameters
    ----------
    egress
        The node's address for callers beside it.
    """

    def __init__(self, egress: str) -> None:
        address = Address.from_text(egress)
        self._via = egress
        self._client = HttpClient(address.host, address.port)

    @property
    def via(self) -> str:
        """Address of the node."""
        return self._via

    async def call(
        self, kind: CallClass, name: str, twin: str = 'a'
    ) -> list[Attempt]:
        """Send a call; come back while told that it did not run.

        ``twin`` tells calls of one name apart that are sent at once.
        """
        attempts: list[Attempt] = []
        body = build_body(kind, name)
        while len(attempts) < kind.attempts:
            nonce = f'{name}/{twin}{len(attempts)}'
            attempt = await self._send(kind, name, nonce, body)
            attempts.append(attempt)
            if attempt.told is not Told.NOT_DONE:
                break
            await anyio.sleep(min(attempt.wait, _MAX_WAIT).total_seconds())
        return attempts

    async def aclose(self) -> None:
        """Close the connections."""
        await self._client.aclose()

    async def _send(
        self, kind: CallClass, name: str, nonce: str, body: bytes
    ) -> Attempt:
        key = name if kind.once else ''
        headers: Headers = (
            (b'host', kind.service.encode()),
            (NONCE_HEADER, nonce.encode()),
            (_TIMEOUT_HEADER, str(kind.timeout_ms).encode()),
        )
        if key:
            headers = (*headers, (KEY_HEADER, key.encode()))
        try:
            with anyio.fail_after((2 * kind.timeout_ms * _MS).total_seconds()):
                answer = await self._client.request(
                    kind.method, kind.path, headers, body
                )
        except _FAILURES as error:
            told = _name_failure(error)
            record = CallRecord(nonce, told, key=key)
            return Attempt(record, '', repr(error), _MAX_WAIT)
        return read_answer(answer, nonce, key, body)


def build_body(kind: CallClass, name: str) -> bytes:
    """Return a call's body: its name, repeated to the wanted length."""
    if not kind.body_bytes:
        return b''
    pattern = f'{name}\n'.encode()
    times = kind.body_bytes // len(pattern) + 1
    return (pattern * times)[: kind.body_bytes]


def read_answer(answer: Answer, nonce: str, key: str, body: bytes) -> Attempt:
    """Tell what an answer means to its caller."""
    headers = answer.headers
    own = True
    if headers.get(_NOT_RUN_HEADER) == b'1':
        told = Told.NOT_DONE
    elif answer.status == 200:
        told = Told.DONE
        own = is_own(answer.body, nonce, body)
    else:
        told = Told.UNKNOWN
    wait = headers.get(_RETRY_HEADER, b'0')
    error = headers.get(_ERROR_HEADER, b'').decode()
    if told is Told.UNKNOWN and not error:
        error = f'status {answer.status}'
    return Attempt(
        CallRecord(nonce, told, own=own, key=key),
        headers.get(VERSION_HEADER, b'').decode(),
        error,
        dt.timedelta(seconds=float(wait)),
    )


def is_own(content: bytes, nonce: str, body: bytes) -> bool:
    """Tell whether an answer is whole and belongs to this call.

    The answer to a repeated key may be the one to an earlier attempt.
    """
    try:
        echo = msgspec.json.decode(content, type=Echo)
    except msgspec.MsgspecError:
        return False
    if echo.nonce.rpartition('/')[0] != nonce.rpartition('/')[0]:
        return False
    whole = echo.received == len(body)
    return whole and echo.sha256 == hashlib.sha256(body).hexdigest()


def _name_failure(error: Exception) -> Told:
    refused = isinstance(error, ConnectFailedError)
    return Told.NOT_DONE if refused else Told.UNKNOWN
