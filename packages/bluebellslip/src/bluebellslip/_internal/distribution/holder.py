"""The applied configuration, and replies to peers that pull it."""

import dataclasses
import logging
from collections import OrderedDict
from typing import Final

from bluebellslip._internal.distribution.delta import (
    apply_delta,
    build_delta,
    decode_delta,
)
from bluebellslip._internal.distribution.messages import (
    PullReply,
    PullRequest,
)
from bluebellslip._internal.exceptions import InvalidConfigError
from bluebellslip._internal.kernel.applied import AppliedConfig, ApplyResult
from bluebellslip._internal.kernel.counters import Counters
from bluebellslip._internal.models.snapshot import Snapshot
from bluebellslip._internal.utils.buckets import TokenBucket
from bluebellslip._internal.utils.digests import (
    decode_snapshot,
    encode_record,
)

logger = logging.getLogger(__name__)

_MAX_KEPT_DELTAS: Final = 32  # peers further behind need the whole body
_MAX_KEPT_DELTA_BYTES: Final = 16384


@dataclasses.dataclass(frozen=True, slots=True)
class _KeptDelta:
    base: int
    encoded: bytes


class ConfigHolder:
    """Applies bodies and deltas, and replies to peers that are behind.

    Parameters
    ----------
    applied
        The applied configuration.
    snapshot_limiter
        Rate limit of whole bodies sent to peers.
    counters
        Counters of events.
    """

    def __init__(
        self,
        applied: AppliedConfig,
        snapshot_limiter: TokenBucket,
        counters: Counters,
    ) -> None:
        self._applied = applied
        self._snapshot_limiter = snapshot_limiter
        self._counters = counters
        self._latest: Snapshot | None = None
        self._body = b''
        self._deltas: OrderedDict[int, _KeptDelta] = OrderedDict()

    @property
    def revision(self) -> int:
        """The applied revision; 0 for none."""
        return self._applied.revision

    @property
    def digest(self) -> str:
        """The digest of the applied body; empty for none."""
        return '' if self._latest is None else self._latest.digest

    @property
    def newest_delta(self) -> bytes | None:
        """The delta that leads to the applied revision, if one is kept."""
        kept = self._deltas.get(self.revision)
        return None if kept is None else kept.encoded

    def apply_body(self, body: bytes, digest: str) -> Snapshot:
        """Check a body and apply it unless its revision is stale.

        Raises
        ------
        InvalidConfigError
            When the body is corrupt, its document is invalid, or the applied
            body has the same revision and another digest. The applied
            configuration stays in force.
        """
        snapshot = decode_snapshot(body, digest)
        self._check_digest_conflict(snapshot)
        if self._applied.apply(snapshot) is ApplyResult.STALE:
            self._counters.add('configs_stale')
            return snapshot
        self._counters.add('configs_applied')
        self._store(snapshot, body)
        return snapshot

    def apply_encoded_delta(self, encoded: bytes) -> Snapshot:
        """Check a delta against the applied configuration and apply it.

        Raises
        ------
        InvalidConfigError
            When the delta is corrupt, is not based on the applied
            configuration, or yields a body that is invalid or does not have
            the digest that the delta states. The applied configuration stays
            in force.
        """
        delta = decode_delta(encoded)
        if self._latest is None:
            raise InvalidConfigError(
                'A delta cannot be applied before the first configuration.'
            )
        record = apply_delta(self._latest.record, self._latest.digest, delta)
        return self.apply_body(encode_record(record), delta.digest)

    def handle_pull(self, request: PullRequest) -> PullReply:
        """Return the deltas or body that bring a peer to the applied revision.

        Returns a delay instead if too many bodies were sent lately, and none
        of these if the peer is not behind.
        """
        if self._latest is None or request.revision >= self.revision:
            return PullReply(self.revision, self.digest)
        deltas = self._find_deltas(request.revision)
        if deltas:
            self._counters.add('deltas_served')
            return PullReply(self.revision, self.digest, deltas)
        if not self._snapshot_limiter.take():
            self._counters.add('snapshots_refused')
            return PullReply(
                self.revision,
                self.digest,
                retry_after=self._snapshot_limiter.compute_wait(),
            )
        self._counters.add('snapshots_served')
        return PullReply(self.revision, self.digest, body=self._body)

    def _check_digest_conflict(self, snapshot: Snapshot) -> None:
        if self._latest is None or snapshot.revision != self.revision:
            return
        if snapshot.digest != self._latest.digest:
            self._counters.add('configs_refused', reason='twin')
            raise InvalidConfigError(
                'Two different configurations have the same revision.',
                context={
                    'revision': str(snapshot.revision),
                    'found': snapshot.digest,
                    'in force': self._latest.digest,
                },
            )

    def _store(self, snapshot: Snapshot, body: bytes) -> None:
        if self._latest is not None:
            self._store_delta(self._latest, snapshot)
        self._latest = snapshot
        self._body = body
        logger.info('configuration applied', extra={'revision': self.revision})

    def _store_delta(self, base: Snapshot, snapshot: Snapshot) -> None:
        delta = build_delta(
            base.record, base.digest, snapshot.record, snapshot.digest
        )
        if delta is None or len(delta) > _MAX_KEPT_DELTA_BYTES:
            self._deltas.clear()
            return
        self._deltas[snapshot.revision] = _KeptDelta(base.revision, delta)
        while len(self._deltas) > _MAX_KEPT_DELTAS:
            self._deltas.popitem(last=False)

    def _find_deltas(self, revision: int) -> tuple[bytes, ...]:
        found: list[bytes] = []
        for kept in self._deltas.values():
            if found or kept.base == revision:
                found.append(kept.encoded)
        return tuple(found)
