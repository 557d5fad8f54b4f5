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
from bluebellslip._internal.utils.decoding import DECODING_ERRORS


class MoveRow(msgspec.Struct, frozen=True):
    """The newest move of a service, with its coordinator's lease.

    ``share`` is the new version's share of the calls, in basis points.
    ``steward`` is the node that coordinates the move. ``epoch`` increases
    whenever another node takes over the lease. ``renewed`` is the time of
    the row's last write by the writing node's wall clock. Leases don't expire
    by it: other nodes use their own monotonic clocks. ``stepped`` is when the
    share last changed. ``returns`` names the completed move that this one
    reverts, if any.
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
        """Return the fact that routing uses; ``step`` is the row's version."""
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
    """Encode a move for storage."""
    return _encoder.encode(row)


def decode_move(body: bytes) -> MoveRow:
    """Decode a stored move.

    Raises
    ------
    PlatformGarbledError
        When the body is not a move.
    """
    try:
        return _decoder.decode(body)
    except DECODING_ERRORS as error:
        raise PlatformGarbledError(
            'A stored move cannot be decoded.',
            context={'found': str(error)},
        ) from error
