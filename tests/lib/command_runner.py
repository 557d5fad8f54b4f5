"""Runs commands of the command line against prepared responses."""

from collections.abc import Mapping
from typing import Any

import msgspec

from bluebellslip._internal.cli.base_command import Command
from bluebellslip._internal.cli.transport import AdminRequest, AdminResponse
from bluebellslip._internal.kernel.clock import ManualClock
from lib.admin_fakes import (
    CapturedOutput,
    FakeTransport,
    make_admin_response,
    make_client,
)
from lib.mesh_views import MINUTE, NOON


class CommandRunner:
    """Runs commands against prepared responses of the administration API.

    ``responses`` holds the bodies for each path, in order; the last one is
    repeated. The clock advances by a minute with each request.
    """

    def __init__(
        self,
        responses: Mapping[str, list[msgspec.Struct]],
        as_json: bool = False,
    ) -> None:
        self._responses = responses
        self.output = CapturedOutput(as_json)
        self.clock = ManualClock(NOON)
        self.transport = FakeTransport(self._send_response)

    def run(self, command_class: type[Command], **arguments: Any) -> int:
        client = make_client(self.transport)
        return command_class(self.output.console, client, self.clock).run(
            **arguments
        )

    def _send_response(self, request: AdminRequest) -> AdminResponse:
        self.clock.advance(MINUTE)
        responses = self._responses[request.target.partition('?')[0]]
        return make_admin_response(
            responses.pop(0) if len(responses) > 1 else responses[0]
        )
