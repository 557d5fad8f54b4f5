"""One node's side of anti-entropy exchanges."""

from collections.abc import Callable, Sequence
from random import Random
from typing import Final

import msgspec

from bluebellslip._internal.membership.encoding import encode_fact
from bluebellslip._internal.membership.intake import Intake
from bluebellslip._internal.membership.memory import AppliedMemory
from bluebellslip._internal.membership.messages import (
    SyncExchange,
    SyncFacts,
    SyncRequest,
    SyncSummary,
)
from bluebellslip._internal.membership.sync import Ledger
from bluebellslip._internal.models.identity import NodeId
from bluebellslip._internal.utils.buckets import TokenBucket

_LARGE: Final = 64  # wanted facts
_FEW: Final = 16  # facts for those who are refused


class SyncSide:
    """Begins, continues and answers exchanges.

    Large answers are admitted by a token bucket, so that a herd that comes
    back does not take a node's time. Those refused get a few of the facts, so
    that they know other members to ask, and are told when to return.

    Parameters
    ----------
    ledger
        Digests of the store.
    intake
        Where received facts go.
    memory
        Revisions in force at others.
    admission
        Bound on large answers.
    random
        Source of randomness.
    own
        The node itself.
    read_revision
        Returns the revision in force.
    """

    def __init__(
        self,
        ledger: Ledger,
        intake: Intake,
        memory: AppliedMemory,
        admission: TokenBucket,
        random: Random,
        own: NodeId,
        read_revision: Callable[[], int],
    ) -> None:
        self._ledger = ledger
        self._intake = intake
        self._memory = memory
        self._admission = admission
        self._random = random
        self._own = own
        self._read_revision = read_revision

    def request(self) -> SyncRequest:
        """Return the message that begins an exchange."""
        return self._ledger.request(self._own, self._read_revision())

    def answer(self, request: SyncRequest) -> SyncSummary:
        """Tell a peer where the stores differ."""
        self._memory.note(request.sender, request.revision)
        return self._ledger.summarize(
            request,
            self._own,
            self._read_revision(),
            self._memory.recall(request.sender),
        )

    def continue_with(self, summary: SyncSummary) -> SyncExchange | None:
        """Return what to ask and tell a peer, if anything differs."""
        self._memory.note(summary.sender, summary.revision)
        difference = self._ledger.compare(summary)
        if difference.empty:
            return None
        return self._ledger.begin_exchange(self._own, difference)

    def answer_exchange(self, request: SyncExchange) -> SyncFacts:
        """Take in a peer's facts and return those that it wants."""
        self._intake.receive(request.facts)
        if len(request.wanted) > _LARGE and not self._admission.take():
            few = self._random.sample(request.wanted, _FEW)
            return SyncFacts(self._encode(few), self._admission.wait())
        return SyncFacts(self._encode(request.wanted))

    def _encode(self, keys: Sequence[str]) -> tuple[msgspec.Raw, ...]:
        return tuple(encode_fact(fact) for fact in self._ledger.select(keys))
