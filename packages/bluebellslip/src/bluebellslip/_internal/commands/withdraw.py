"""``bluebell withdraw``: withdraw the newest move of a service."""

from typing import Annotated
from urllib.parse import quote, urlencode

import typer

from bluebellslip._internal.cli.base_command import Command
from bluebellslip._internal.cli.exit_codes import SUCCESS
from bluebellslip._internal.cli.formatting import describe_move
from bluebellslip._internal.models.views import MoveView


class WithdrawCommand(Command):
    """Withdraws the newest move of a service."""

    def run(
        self,
        service: Annotated[str, typer.Argument(help='Service of the move.')],
        reason: Annotated[
            str, typer.Option(help='Reason, for the audit trail.')
        ] = 'withdrawn by an operator',
    ) -> int:
        """Withdraw the move."""
        query = urlencode({'reason': reason})
        target = f'/v1/moves/{quote(service, safe="")}?{query}'
        move = self._client.call('DELETE', target, MoveView)
        text = '\n'.join(describe_move(move, self._clock.now()))
        self._console.show(move, text)
        return SUCCESS
