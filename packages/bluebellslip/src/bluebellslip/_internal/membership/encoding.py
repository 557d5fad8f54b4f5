"""Encoded facts, as they ride in messages."""

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

AnyFact = MemberFact | HeadFact | MoveFact | StopFact

_encoder: Final = msgspec.msgpack.Encoder()
_decoder: Final[msgspec.msgpack.Decoder[AnyFact]] = msgspec.msgpack.Decoder(
    AnyFact
)


def encode_fact(fact: Fact) -> msgspec.Raw:
    """Return a fact in the form that messages carry."""
    return msgspec.Raw(_encoder.encode(fact))


def decode_facts(
    encoded: Iterable[msgspec.Raw], counters: Counters
) -> tuple[Fact, ...]:
    """Return the facts that can be decoded; count the others."""
    facts: list[Fact] = []
    for raw in encoded:
        try:
            facts.append(_decoder.decode(raw))
        except msgspec.MsgspecError:
            counters.add('facts_refused', reason='malformed')
    return tuple(facts)
