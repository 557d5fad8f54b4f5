"""How a node divides the time of its stop among its plug-ins.

Guards against a call that lasts until the end of the drain and so keeps the
node from telling the others that it has departed, and other calls from getting
a response.
"""

import datetime as dt
from typing import Self

import anyio
import pytest
from anyio.abc import TaskStatus

from bluebellslip._internal.kernel.context import Context
from bluebellslip._internal.kernel.node import Node
from bluebellslip._internal.kernel.plugin import Plugin, Stage
from bluebellslip._internal.kernel.ports import PeerLink, TableService
from bluebellslip._internal.membership.plugin import MembershipPlugin
from bluebellslip._internal.models.facts import MemberStatus
from lib.admin_fakes import make_context
from lib.tables import FakeTable
from lib.virtual_time import run_in_virtual_time

_DRAIN_TIMEOUT = dt.timedelta(seconds=0.5)


class FakePlugin(Plugin):
    """Records the steps of a stop.

    ``drain`` returns only if ``drains`` is set, ``end`` only if ``ends`` is.
    """

    stage = Stage.CALLS
    end_time = dt.timedelta(seconds=0.1)

    def __init__(
        self, name: str, steps: list[str], *, drains: bool, ends: bool = True
    ) -> None:
        self._name = name
        self._steps = steps
        self._drains = drains
        self._ends = ends

    @classmethod
    def from_context(cls, context: Context) -> Self:
        raise NotImplementedError

    async def run(self, task_status: TaskStatus[None]) -> None:
        raise NotImplementedError

    def leave(self) -> None:
        self._steps.append(f'{self._name} leaves')

    async def drain(self) -> None:
        if not self._drains:
            await anyio.sleep_forever()
        await anyio.sleep(0)
        self._steps.append(f'{self._name} drained')

    async def end(self) -> None:
        if not self._ends:
            await anyio.sleep_forever()
        await anyio.sleep(0)
        self._steps.append(f'{self._name} ended')


class SilentLink:
    """A link that sends nothing."""

    def send(self, *message: object) -> None:
        """Drop the message."""

    def on_datagram(self, *handler: object) -> None:
        """Drop the handler."""

    def on_request(self, *handler: object) -> None:
        """Drop the handler."""


def test_every_plugin_ends_its_work_after_a_drain_without_end() -> None:
    steps: list[str] = []
    plugins = (
        FakePlugin('first', steps, drains=True),
        FakePlugin('stuck', steps, drains=False),
        FakePlugin('last', steps, drains=True),
    )
    node = Node(make_context(), plugins, _DRAIN_TIMEOUT)
    run_in_virtual_time(node._drain)
    assert steps == [
        'first leaves',
        'stuck leaves',
        'last leaves',
        'last drained',
        'last ended',
        'stuck ended',
        'first drained',
        'first ended',
    ]


def test_drains_and_ends_keep_the_drain_timeout() -> None:
    async def stop() -> None:
        started = anyio.current_time()
        await node._drain()
        spent.append(anyio.current_time() - started)

    spent: list[float] = []
    plugins = tuple(
        FakePlugin(name, [], drains=False, ends=False) for name in 'abc'
    )
    node = Node(make_context(), plugins, _DRAIN_TIMEOUT)
    run_in_virtual_time(stop)
    assert spent == pytest.approx([_DRAIN_TIMEOUT.total_seconds()])


def test_short_drain_timeout_is_not_used_up_by_the_reserve() -> None:
    """The plug-ins would keep all of it for their ends."""

    class SlowPlugin(FakePlugin):
        end_time = _DRAIN_TIMEOUT

        async def drain(self) -> None:
            await anyio.sleep(_DRAIN_TIMEOUT.total_seconds() * 0.4)
            await super().drain()

    steps: list[str] = []
    plugin = SlowPlugin('slow', steps, drains=True)
    run_in_virtual_time(Node(make_context(), (plugin,), _DRAIN_TIMEOUT)._drain)
    assert steps == ['slow leaves', 'slow drained', 'slow ended']


def test_departure_is_announced_after_a_drain_without_end() -> None:
    context = make_context()
    context.ports.provide(TableService, FakeTable())
    context.ports.provide(PeerLink, SilentLink())  # type: ignore[arg-type]
    membership = MembershipPlugin.from_context(context)
    stuck = FakePlugin('stuck', [], drains=False)
    node = Node(context, (membership, stuck), _DRAIN_TIMEOUT)
    run_in_virtual_time(node._drain)
    assert membership.core.own_record.fact.status is MemberStatus.DEAD
