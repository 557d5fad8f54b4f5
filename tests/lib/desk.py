"""A desk at which commands run against prepared answers."""

from collections.abc import Mapping
from typing import Any

import msgspec

from bluebellslip._internal.cli.base_command import Command
from bluebellslip._internal.cli.transport import AdminRequest, AdminResponse
from bluebellslip._internal.kernel.clock import ManualClock
from lib.mesh_views import MINUTE, NOON
from lib.operators import FakeTransport, Printed, make_client, reply_with


class Desk:
    """Runs commands against prepared answers, by path."""

    def __init__(
        self, answers: Mapping[str, list[msgspec.Struct]], as_json: bool = False
    ) -> None:
        self._answers = answers
        self.printed = Printed(as_json)
        self.clock = ManualClock(NOON)
        self.transport = FakeTransport(self._reply)

    def run(self, kind: type[Command], **arguments: Any) -> int:
        client = make_client(self.transport)
        return kind(self.printed.console, client, self.clock).run(**arguments)

    def _reply(self, request: AdminRequest) -> AdminResponse:
        self.clock.advance(MINUTE)
        answers = self._answers[request.target.partition('?')[0]]
        return reply_with(answers.pop(0) if len(answers) > 1 else answers[0])
