"""An event loop in virtual time.

Its clock advances only when all tasks wait, straight to the next timer.
"""

import asyncio
import datetime as dt
import functools
from collections.abc import Awaitable, Callable

import anyio

_START = dt.datetime(2026, 1, 1, tzinfo=dt.UTC)


class _Selector:
    """Selector that advances the loop's clock instead of waiting."""

    def __init__(self, inner, loop) -> None:
        self._inner = inner
        self._loop = loop

    def select(self, timeout=None):
        assert timeout is not None, 'deadlock: all tasks wait without a timer'
        self._loop.current_time += timeout
        return self._inner.select(0)

    def __getattr__(self, name):
        return getattr(self._inner, name)


class VirtualTimeLoop(asyncio.SelectorEventLoop):
    """Event loop whose time is advanced by its selector."""

    def __init__(self) -> None:
        super().__init__()
        self.current_time: float = 0
        self._selector = _Selector(self._selector, self)
        self._clock_resolution = 1e-6

    def time(self) -> float:
        return self.current_time


def run_in_virtual_time(
    function: Callable[..., Awaitable[None]], *args
) -> None:
    """Run a coroutine function to its end in virtual time."""
    anyio.run(
        functools.partial(function, *args),
        backend='asyncio',
        backend_options={'loop_factory': VirtualTimeLoop},
    )


class LoopClock:
    """Clock of the running event loop; it can be frozen."""

    def __init__(self) -> None:
        self._frozen_at: float | None = None

    @property
    def is_frozen(self) -> bool:
        return self._frozen_at is not None

    def freeze(self) -> None:
        self._frozen_at = asyncio.get_running_loop().time()

    def thaw(self) -> None:
        self._frozen_at = None

    def elapsed(self) -> dt.timedelta:
        current_time = self._frozen_at
        if current_time is None:
            current_time = asyncio.get_running_loop().time()
        return dt.timedelta(seconds=round(current_time, 6))

    def now(self) -> dt.datetime:
        return _START + self.elapsed()
