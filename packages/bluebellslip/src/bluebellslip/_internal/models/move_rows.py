"""Rows of the platform's table that hold moves between versions."""

import datetime as dt

import msgspec

from bluebellslip._internal.exceptions import PlatformGarbledError
from bluebellslip._internal.models.facts import MoveFact, MoveState
from bluebellslip._internal.models.identity import (
    MoveId,
    NodeId,
    ServiceName,
    VersionName,
)


class MoveRow(msgspec.Struct, frozen=True):
    """The newest move of a service, with its steward's lease.

    ``share`` is in basis points. ``epoch`` rises whenever another node takes
    the lease over. ``renewed`` is the steward's wall clock, for reading
    only: a lease lapses by the watchers' own monotonic clocks. ``returns``
    names the done move whose version this one leads back from.
    """

    service: ServiceName
    move: MoveId
    state: MoveState
    old: VersionName
    new: VersionName
    share: int
    started: dt.datetime
    deadline: dt.datetime
    who: str
    steward: NodeId
    epoch: int
    renewed: dt.datetime
    stepped: dt.datetime
    reason: str
    forecast: dt.datetime | None = None
    returns: MoveId | None = None

    def to_fact(self, step: int) -> MoveFact:
        """Return what routing must know; ``step`` is the row's version."""
        return MoveFact(
            service=self.service,
            move=self.move,
            step=step,
            epoch=self.epoch,
            state=self.state,
            old=self.old,
            new=self.new,
            share=self.share,
            started=self.started,
            deadline=self.deadline,
            steward=self.steward,
            reason=self.reason,
            forecast=self.forecast,
            renewed=self.renewed,
            returns=self.returns,
        )


_encoder = msgspec.msgpack.Encoder()
_decoder = msgspec.msgpack.Decoder(MoveRow)


def encode_move(row: MoveRow) -> bytes:
    """Return the stored form of a move."""
    return _encoder.encode(row)


def decode_move(body: bytes) -> MoveRow:
    """Return the move of a stored form.

    Raises
    ------
    PlatformGarbledError
        When the body is no move.
    """
    try:
        return _decoder.decode(body)
    except msgspec.MsgspecError as error:
        raise PlatformGarbledError(
            'A stored move can not be decoded.',
            context={'found': str(error)},
        ) from error
