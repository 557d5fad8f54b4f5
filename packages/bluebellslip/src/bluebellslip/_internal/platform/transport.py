"""Exchanges with the platform over HTTP: bounded in time, number and size."""

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
from bluebellslip._internal.platform.answers import Reply, check_available
from bluebellslip._internal.platform.breaker import CircuitBreaker

_MAX_IN_FLIGHT: Final = 16
_MAX_WAITING: Final = 256
_MAX_ANSWER_BYTES: Final = 1 << 25
_IDLE_SECONDS: Final = 4.0
_SERVER_FAILURE: Final = 500

_NOTHING_SENT: Final = (
    httpcore.ConnectError,
    httpcore.ConnectTimeout,
    httpcore.PoolTimeout,
    httpcore.UnsupportedProtocol,
)
_MAYBE_SENT: Final = (
    TimeoutError,
    httpcore.NetworkError,
    httpcore.TimeoutException,
    httpcore.ProtocolError,
)


@enum.unique
class Effect(enum.StrEnum):
    """Whether a request changes what the platform keeps."""

    READ = 'read'
    WRITE = 'write'


@dataclasses.dataclass(frozen=True, slots=True)
class Exchange:
    """One request."""

    effect: Effect
    method: str
    path: str
    body: bytes = b''


def build_pool() -> httpcore.AsyncConnectionPool:
    """Return the connections of one node to the platform."""
    return httpcore.AsyncConnectionPool(
        max_connections=2 * _MAX_IN_FLIGHT,
        max_keepalive_connections=_MAX_IN_FLIGHT,
        keepalive_expiry=_IDLE_SECONDS,
        retries=0,
    )


class Transport:
    """Sends requests to one part of the platform.

    Parameters
    ----------
    base
        URL that the paths are appended to.
    timeout
        Longest time of an exchange, the wait for a turn included.
    pool
        Connections.
    breaker
        Lets requests through, or refuses them at once in an outage.
    counters
        Receives ``platform.requests`` by effect and outcome.
    """

    def __init__(
        self,
        base: str,
        timeout: dt.timedelta,
        pool: httpcore.AsyncConnectionPool,
        breaker: CircuitBreaker,
        counters: Counters,
    ) -> None:
        self._base = base.rstrip('/')
        self._timeout = timeout.total_seconds()
        self._pool = pool
        self._breaker = breaker
        self._counters = counters
        self._turns = anyio.Semaphore(_MAX_IN_FLIGHT)

    async def send(self, exchange: Exchange) -> Reply:
        """Send a request and return the whole answer.

        Raises
        ------
        PlatformDownError
            When nothing took effect; always, where a read got no answer.
        PlatformOutcomeUnknownError
            When a write may have taken effect.
        PlatformGarbledError
            When the answer is too long.
        """
        deadline = anyio.current_time() + self._timeout
        async with AsyncExitStack() as stack:
            await self._take_turn(exchange)
            stack.callback(self._turns.release)
            return await self._send_counted(exchange, deadline)

    async def _take_turn(self, exchange: Exchange) -> None:
        waiting = self._turns.statistics().tasks_waiting
        if waiting >= _MAX_WAITING:
            raise self._refuse(exchange, 'Too many requests wait their turn.')
        try:
            with anyio.fail_after(self._timeout):
                await self._turns.acquire()
        except TimeoutError:
            raise self._refuse(exchange, 'No turn came in time.') from None

    async def _send_counted(self, exchange: Exchange, deadline: float) -> Reply:
        permit = self._breaker.enter()
        if permit is None:
            raise self._refuse(exchange, 'The platform did not answer lately.')
        try:
            reply = await self._send_in_time(exchange, deadline)
        except BluebellError as error:
            self._breaker.fail(permit)
            self._count(exchange, error.kind.value)
            raise
        except BaseException:
            self._breaker.abandon(permit)
            raise
        self._breaker.succeed(permit)
        self._count(exchange, 'answered')
        return reply

    async def _send_in_time(self, exchange: Exchange, deadline: float) -> Reply:
        remaining = max(deadline - anyio.current_time(), 0)
        try:
            with anyio.fail_after(remaining):
                reply = await self._exchange(exchange)
        except _NOTHING_SENT as error:
            raise PlatformDownError(
                'The platform can not be reached.',
                context=self._name(repr(error)),
            ) from error
        except _MAYBE_SENT as lost:
            raise self._name_loss(exchange, repr(lost)) from lost
        check_available(reply)
        if reply.status >= _SERVER_FAILURE:
            raise self._name_loss(exchange, f'status {reply.status}')
        return reply

    async def _exchange(self, exchange: Exchange) -> Reply:
        body = bytearray()
        async with self._pool.stream(
            exchange.method,
            f'{self._base}{exchange.path}',
            content=exchange.body or None,
        ) as response:
            async for chunk in response.aiter_stream():
                body += chunk
                if len(body) > _MAX_ANSWER_BYTES:
                    raise PlatformGarbledError('An answer is too long.')
            return Reply(response.status, bytes(body))

    def _refuse(self, exchange: Exchange, reason: str) -> PlatformDownError:
        self._count(exchange, 'refused')
        return PlatformDownError(
            reason,
            context={'platform': self._base},
            hint='Nothing took effect; try again later.',
        )

    def _name_loss(
        self, exchange: Exchange, found: str
    ) -> PlatformDownError | PlatformOutcomeUnknownError:
        if exchange.effect is Effect.READ:
            return PlatformDownError(
                'A read got no answer.', context=self._name(found)
            )
        return PlatformOutcomeUnknownError(
            'A write got no answer and may have taken effect.',
            context=self._name(found),
            hint='Read again to learn whether it did.',
        )

    def _name(self, found: str) -> dict[str, str]:
        return {'platform': self._base, 'found': found}

    def _count(self, exchange: Exchange, outcome: str) -> None:
        self._counters.add(
            'platform.requests', effect=exchange.effect.value, outcome=outcome
        )
