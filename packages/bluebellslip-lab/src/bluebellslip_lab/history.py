"""Histories of concurrent runs, and what must hold of them."""

import dataclasses
import enum
from collections import Counter, defaultdict
from collections.abc import Iterable, Iterator, Sequence


@enum.unique
class Told(enum.Enum):
    """What a caller was told of its request."""

    DONE = 'done'
    NOT_DONE = 'not-done'
    UNKNOWN = 'unknown'


@dataclasses.dataclass(frozen=True, slots=True)
class Violation:
    """Something that must hold and did not."""

    rule: str
    detail: str


@dataclasses.dataclass(frozen=True, slots=True)
class ChangeRecord:
    """One submission of a change, as its operator saw it.

    ``began`` and ``ended`` are positions in one order of time.
    """

    change: str
    told: Told
    began: float
    ended: float
    revision: int = 0


@dataclasses.dataclass(frozen=True, slots=True)
class CommitRecord:
    """One revision of the configuration, as the platform keeps it."""

    revision: int
    change: str
    digest: str
    previous: str


@dataclasses.dataclass(frozen=True, slots=True)
class AppliedRecord:
    """A revision that a node reported in force; ``life`` counts its starts."""

    node: str
    life: int
    at: float
    revision: int


@dataclasses.dataclass(frozen=True, slots=True)
class CallRecord:
    """One call, as its caller saw it.

    ``own`` tells whether the answer was whole and the caller's own. ``key``
    is the idempotency key, empty for work that may run again.
    """

    call: str
    told: Told
    own: bool = True
    key: str = ''


@dataclasses.dataclass(frozen=True, slots=True)
class RunRecord:
    """One run of a call at a backend server."""

    call: str
    server: str
    key: str = ''


def check_changes(
    records: Iterable[ChangeRecord], commits: Sequence[CommitRecord]
) -> tuple[Violation, ...]:
    """Check operators' writes against the revisions that came of them."""
    submissions = tuple(records)
    return (
        *_find_broken_chain(commits),
        *_find_doubled(commits),
        *_find_misreported(submissions, commits),
        *_find_disordered(submissions),
    )


def check_applied(records: Iterable[AppliedRecord]) -> tuple[Violation, ...]:
    """Check that no node ever reported an older revision in force."""
    newest: dict[str, AppliedRecord] = {}
    violations = []
    for record in sorted(records, key=lambda each: each.at):
        before = newest.setdefault(record.node, record)
        if record.revision < before.revision:
            violations.append(
                Violation('revision went back', f'{before} then {record}')
            )
        newest[record.node] = record
    return tuple(violations)


def check_calls(
    calls: Iterable[CallRecord], runs: Iterable[RunRecord]
) -> tuple[Violation, ...]:
    """Check calls against what the backend servers ran."""
    seen = tuple(calls)
    ran = tuple(runs)
    return (
        *_find_double_runs(ran),
        *_find_false_refusals(seen, ran),
        *_find_foreign_answers(seen),
        *_find_unrun_answers(seen, ran),
    )


def _find_broken_chain(commits: Sequence[CommitRecord]) -> Iterator[Violation]:
    previous = ''
    for position, commit in enumerate(commits, start=1):
        if commit.revision != position or commit.previous != previous:
            yield Violation('revisions are not linear', str(commit))
        previous = commit.digest


def _find_doubled(commits: Iterable[CommitRecord]) -> Iterator[Violation]:
    for change, times in Counter(each.change for each in commits).items():
        if times > 1:
            yield Violation('change accepted twice', f'{change}: {times}')


def _find_misreported(
    records: Iterable[ChangeRecord], commits: Iterable[CommitRecord]
) -> Iterator[Violation]:
    revisions = {commit.change: commit.revision for commit in commits}
    accepted = set()
    refused = []
    for record in records:
        found = revisions.get(record.change)
        if record.told is Told.DONE:
            accepted.add(record.change)
            if found != record.revision:
                yield Violation('accepted change lost', f'{record}: {found}')
        if record.told is Told.NOT_DONE and found is not None:
            refused.append(record)
    for record in refused:
        if record.change not in accepted:
            yield Violation('refused change in force', str(record))


def _find_disordered(records: Iterable[ChangeRecord]) -> Iterator[Violation]:
    done = [record for record in records if record.told is Told.DONE]
    first = [record for record in done if _is_first(record, done)]
    for earlier in done:
        for later in first:
            crossed = earlier.revision > later.revision
            if crossed and earlier.ended < later.began:
                yield Violation('changes out of order', f'{earlier} {later}')


def _is_first(record: ChangeRecord, done: Iterable[ChangeRecord]) -> bool:
    """Tell whether a submission is its change's first; repeats find it."""
    return all(
        other.change != record.change or other.began >= record.began
        for other in done
    )


def _find_double_runs(runs: Iterable[RunRecord]) -> Iterator[Violation]:
    servers = defaultdict(list)
    for run in runs:
        if run.key:
            servers[run.key].append(run.server)
    for key, places in servers.items():
        if len(places) > 1:
            yield Violation('key ran twice', f'{key}: {places}')


def _find_false_refusals(
    calls: Iterable[CallRecord], runs: Iterable[RunRecord]
) -> Iterator[Violation]:
    ran = {run.call for run in runs}
    for call in calls:
        if call.told is Told.NOT_DONE and call.call in ran:
            yield Violation('refused call ran', str(call))


def _find_foreign_answers(calls: Iterable[CallRecord]) -> Iterator[Violation]:
    for call in calls:
        if call.told is Told.DONE and not call.own:
            yield Violation("answer not the caller's own", str(call))


def _find_unrun_answers(
    calls: Iterable[CallRecord], runs: Iterable[RunRecord]
) -> Iterator[Violation]:
    ran_calls: set[str] = set()
    ran_keys: set[str] = set()
    for run in runs:
        ran_calls.add(run.call)
        ran_keys.add(run.key)
    for call in calls:
        answered = call.call in ran_calls or (call.key in ran_keys and call.key)
        if call.told is Told.DONE and not answered:
            yield Violation('answered call never ran', str(call))
