"""A history of calls and runs, and what must hold of it."""

import asyncio
import dataclasses
from collections import Counter
from collections.abc import Iterable

from bluebellslip._internal.models.identity import Address
from lib.calls import FakeServer, Got, call_once

_OK = 200


@dataclasses.dataclass(frozen=True)
class Event:
    """One call; ``got`` is none where the answer broke off."""

    path: str
    key: str
    got: Got | None

    @property
    def not_run(self) -> bool:
        """Whether the answer promises that the call did not run."""
        return self.got is not None and 'bluebell-not-run' in self.got.headers


class History:
    """Calls made, to be checked against what the servers ran."""

    def __init__(self) -> None:
        self.events: list[Event] = []

    async def call(self, address: Address, path: str, key: str = '') -> None:
        """Make a call and keep what came of it."""
        service, method = ('orders', 'POST') if key else ('storefront', 'GET')
        headers = {'idempotency_key': key} if key else {}
        got: Got | None = None
        try:
            got = await call_once(
                address, path, service=service, method=method, **headers
            )
        except (OSError, asyncio.IncompleteReadError):
            got = None
        self.events.append(Event(path, key, got))

    def check(self, servers: Iterable[FakeServer]) -> list[str]:
        """Return what does not hold; nothing if all does."""
        runs: Counter[str] = Counter()
        for server in servers:
            for request in server.seen:
                key = request.headers.get('idempotency-key', '')
                runs[key or request.line.split()[1]] += 1
        faults = [
            f'{event.path} got {event.got}'
            for event in self.events
            if not _is_own(event)
        ]
        keys = {event.key for event in self.events if event.key}
        faults.extend(
            f'{key} ran {runs[key]} times' for key in keys if runs[key] > 1
        )
        faults.extend(self._find_broken_promises(runs))
        return faults

    def _find_broken_promises(self, runs: Counter[str]) -> list[str]:
        promises: dict[str, bool] = {}
        for event in self.events:
            name = event.key or event.path
            promises[name] = promises.get(name, True) and event.not_run
        return [
            f'{name} ran, but was promised not to have'
            for name, promised in promises.items()
            if promised and runs[name]
        ]


def _is_own(event: Event) -> bool:
    if event.got is None or event.got.status != _OK:
        return True
    return event.got.body == (event.key or event.path).encode()
