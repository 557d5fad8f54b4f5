"""Encoding of facts in messages."""

from collections.abc import Iterable
from typing import Final

import msgspec

from bluebellslip._internal.kernel.counters import Counters
from bluebellslip._internal.models.facts import (
    Fact,
    HeadFact,
    MemberFact,
    MoveFact,
    StopFact,
)
from bluebellslip._internal.utils.decoding import DECODING_ERRORS

AnyFact = MemberFact | HeadFact | MoveFact | StopFact

_encoder: Final = msgspec.msgpack.Encoder()
_decoder: Final[msgspec.msgpack.Decoder[AnyFact]] = msgspec.msgpack.Decoder(
    AnyFact
)


def encode_fact(fact: Fact) -> msgspec.Raw:
    """Encode a fact for a message."""
    return msgspec.Raw(_encoder.encode(fact))


def decode_facts(
    encoded: Iterable[msgspec.Raw], counters: Counters
) -> tuple[Fact, ...]:
    """Decode facts; malformed ones are dropped and counted."""
    facts: list[Fact] = []
    for raw in encoded:
        try:
            facts.append(_decoder.decode(raw))
        except DECODING_ERRORS:
            counters.add('facts_refused', reason='malformed')
    return tuple(facts)
