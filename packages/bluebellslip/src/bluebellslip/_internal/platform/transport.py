"""HTTP requests to the platform, bounded in time, number and size."""

import dataclasses
import datetime as dt
import enum
from contextlib import AsyncExitStack
from typing import Final

import anyio
import httpcore

from bluebellslip._internal.exceptions import (
    BluebellError,
    PlatformDownError,
    PlatformGarbledError,
    PlatformOutcomeUnknownError,
)
from bluebellslip._internal.kernel.counters import Counters
from bluebellslip._internal.platform.breaker import CircuitBreaker
from bluebellslip._internal.platform.responses import (
    PlatformResponse,
    check_available,
)

_MAX_IN_FLIGHT_REQUESTS: Final = 16
_MAX_WAITING_REQUESTS: Final = 256
_MAX_RESPONSE_BYTES: Final = 1 << 25
_IDLE_TIMEOUT_S: Final = 4.0
_MIN_SERVER_ERROR: Final = 500

_NOT_SENT_ERRORS: Final = (
    httpcore.ConnectError,
    httpcore.ConnectTimeout,
    httpcore.PoolTimeout,
    httpcore.UnsupportedProtocol,
)
_MAYBE_SENT_ERRORS: Final = (
    TimeoutError,
    httpcore.NetworkError,
    httpcore.TimeoutException,
    httpcore.ProtocolError,
)


@enum.unique
class Effect(enum.StrEnum):
    """Whether a request changes data on the platform."""

    READ = 'read'
    WRITE = 'write'


@dataclasses.dataclass(frozen=True, slots=True)
class PlatformRequest:
    """One request to the platform."""

    effect: Effect
    method: str
    path: str
    body: bytes = b''


def build_pool() -> httpcore.AsyncConnectionPool:
    """Build the connection pool of a node to the platform."""
    return httpcore.AsyncConnectionPool(
        max_connections=2 * _MAX_IN_FLIGHT_REQUESTS,
        max_keepalive_connections=_MAX_IN_FLIGHT_REQUESTS,
        keepalive_expiry=_IDLE_TIMEOUT_S,
        retries=0,
    )


class Transport:
    """Sends requests to one service of the platform.

    Parameters
    ----------
    base_url
        URL that the paths are appended to.
    timeout
        Time limit of a request, including the wait for capacity.
    pool
        Connections to the platform, shared by the transports of a node.
    breaker
        Rejects requests at once during an outage.
    counters
        Receives ``platform.requests`` by effect and outcome.
    """

    def __init__(
        self,
        base_url: str,
        timeout: dt.timedelta,
        pool: httpcore.AsyncConnectionPool,
        breaker: CircuitBreaker,
        counters: Counters,
    ) -> None:
        self._base_url = base_url.rstrip('/')
        self._timeout = timeout.total_seconds()
        self._pool = pool
        self._breaker = breaker
        self._counters = counters
        self._semaphore = anyio.Semaphore(_MAX_IN_FLIGHT_REQUESTS)

    async def send(self, request: PlatformRequest) -> PlatformResponse:
        """Send a request and return the complete response.

        Raises
        ------
        PlatformDownError
            When nothing took effect, or when a read failed.
        PlatformOutcomeUnknownError
            When a write may have taken effect.
        PlatformGarbledError
            When the response is too long.
        """
        deadline = anyio.current_time() + self._timeout
        async with AsyncExitStack() as stack:
            await self._wait_for_capacity(request)
            stack.callback(self._semaphore.release)
            return await self._send_through_breaker(request, deadline)

    async def _wait_for_capacity(self, request: PlatformRequest) -> None:
        waiting = self._semaphore.statistics().tasks_waiting
        if waiting >= _MAX_WAITING_REQUESTS:
            raise self._make_refusal(
                request, 'Too many requests are waiting to be sent.'
            )
        try:
            with anyio.fail_after(self._timeout):
                await self._semaphore.acquire()
        except TimeoutError:
            raise self._make_refusal(
                request, 'The request could not be sent within its time limit.'
            ) from None

    async def _send_through_breaker(
        self, request: PlatformRequest, deadline: float
    ) -> PlatformResponse:
        permit = self._breaker.acquire_permit()
        if permit is None:
            raise self._make_refusal(
                request, 'The platform has not responded lately.'
            )
        try:
            response = await self._send_with_timeout(request, deadline)
        except BluebellError as error:
            self._breaker.record_failure(permit)
            self._count(request, error.kind.value)
            raise
        except BaseException:
            self._breaker.record_cancellation(permit)
            raise
        self._breaker.record_success(permit)
        self._count(request, 'answered')
        return response

    async def _send_with_timeout(
        self, request: PlatformRequest, deadline: float
    ) -> PlatformResponse:
        remaining = max(deadline - anyio.current_time(), 0)
        try:
            with anyio.fail_after(remaining):
                response = await self._send_request(request)
        except _NOT_SENT_ERRORS as error:
            raise PlatformDownError(
                'The platform cannot be reached.',
                context=self._make_context(repr(error)),
            ) from error
        except _MAYBE_SENT_ERRORS as error:
            raise self._make_loss_error(request, repr(error)) from error
        check_available(response)
        if response.status >= _MIN_SERVER_ERROR:
            raise self._make_loss_error(request, f'status {response.status}')
        return response

    async def _send_request(self, request: PlatformRequest) -> PlatformResponse:
        body = bytearray()
        async with self._pool.stream(
            request.method,
            f'{self._base_url}{request.path}',
            content=request.body or None,
        ) as response:
            async for chunk in response.aiter_stream():
                body += chunk
                if len(body) > _MAX_RESPONSE_BYTES:
                    raise PlatformGarbledError(
                        'A response of the platform is over the size limit.'
                    )
            return PlatformResponse(response.status, bytes(body))

    def _make_refusal(
        self, request: PlatformRequest, reason: str
    ) -> PlatformDownError:
        self._count(request, 'refused')
        return PlatformDownError(
            reason,
            context={'platform': self._base_url},
            hint='Nothing took effect; try again later.',
        )

    def _make_loss_error(
        self, request: PlatformRequest, cause: str
    ) -> PlatformDownError | PlatformOutcomeUnknownError:
        if request.effect is Effect.READ:
            return PlatformDownError(
                'A read failed.', context=self._make_context(cause)
            )
        return PlatformOutcomeUnknownError(
            'A write failed but may have taken effect.',
            context=self._make_context(cause),
            hint='Read again to find out whether the write took effect.',
        )

    def _make_context(self, cause: str) -> dict[str, str]:
        return {'platform': self._base_url, 'found': cause}

    def _count(self, request: PlatformRequest, outcome: str) -> None:
        self._counters.add(
            'platform.requests', effect=request.effect.value, outcome=outcome
        )
