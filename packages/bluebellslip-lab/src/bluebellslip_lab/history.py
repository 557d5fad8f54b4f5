"""Histories of concurrent operations, and checks of their invariants."""

import dataclasses
import enum
from collections import Counter, defaultdict
from collections.abc import Iterable, Iterator, Sequence


@enum.unique
class ReportedOutcome(enum.Enum):
    """Outcome of a request, as reported to its sender."""

    DONE = 'done'
    NOT_DONE = 'not-done'
    UNKNOWN = 'unknown'


@dataclasses.dataclass(frozen=True, slots=True)
class Violation:
    """A violated invariant."""

    rule: str
    detail: str


@dataclasses.dataclass(frozen=True, slots=True)
class ChangeRecord:
    """One submission of a change, as its operator saw it.

    ``started_at`` and ``ended_at`` may have any unit, such as seconds or
    steps, if all records of a history use the same one.
    """

    change: str
    outcome: ReportedOutcome
    started_at: float
    ended_at: float
    revision: int = 0


@dataclasses.dataclass(frozen=True, slots=True)
class CommitRecord:
    """One revision of the configuration, as stored by the platform.

    ``previous`` is the digest of the revision before, empty for the first.
    """

    revision: int
    change: str
    digest: str
    previous: str


@dataclasses.dataclass(frozen=True, slots=True)
class AppliedRecord:
    """A revision that a node reported as applied, and the time it was read.

    ``start_number`` counts the starts of the node's process. ``at`` is in
    seconds.
    """

    node: str
    start_number: int
    at: float
    revision: int


@dataclasses.dataclass(frozen=True, slots=True)
class CallRecord:
    """One request of a call, as its caller saw it.

    ``response_matches`` is false if a successful response belonged to another
    call or did not echo the whole request body. ``key`` is the idempotency
    key, empty for work that may run more than once.
    """

    nonce: str
    outcome: ReportedOutcome
    response_matches: bool = True
    key: str = ''


@dataclasses.dataclass(frozen=True, slots=True)
class RunRecord:
    """One execution of a request at a backend server."""

    nonce: str
    server: str
    key: str = ''


def check_changes(
    records: Iterable[ChangeRecord], commits: Sequence[CommitRecord]
) -> tuple[Violation, ...]:
    """Check the outcomes of submitted changes against the stored revisions."""
    submissions = tuple(records)
    return (
        *_find_broken_chain(commits),
        *_find_duplicate_changes(commits),
        *_find_misreported_changes(submissions, commits),
        *_find_order_violations(submissions),
    )


def check_applied(records: Iterable[AppliedRecord]) -> tuple[Violation, ...]:
    """Check that no node ever went back to an older revision."""
    last_records: dict[str, AppliedRecord] = {}
    violations = []
    for record in sorted(records, key=lambda each: each.at):
        previous = last_records.setdefault(record.node, record)
        if record.revision < previous.revision:
            violations.append(
                Violation('revision went back', f'{previous} then {record}')
            )
        last_records[record.node] = record
    return tuple(violations)


def check_calls(
    calls: Iterable[CallRecord], runs: Iterable[RunRecord]
) -> tuple[Violation, ...]:
    """Check the outcomes of calls against the backend servers' runs."""
    observed = tuple(calls)
    executed = tuple(runs)
    return (
        *_find_double_runs(executed),
        *_find_false_refusals(observed, executed),
        *_find_mismatched_responses(observed),
        *_find_responses_without_run(observed, executed),
    )


def _find_broken_chain(commits: Sequence[CommitRecord]) -> Iterator[Violation]:
    previous = ''
    for position, commit in enumerate(commits, start=1):
        if commit.revision != position or commit.previous != previous:
            yield Violation('revisions are not linear', str(commit))
        previous = commit.digest


def _find_duplicate_changes(
    commits: Iterable[CommitRecord],
) -> Iterator[Violation]:
    for change, times in Counter(each.change for each in commits).items():
        if times > 1:
            yield Violation('change accepted twice', f'{change}: {times}')


def _find_misreported_changes(
    records: Iterable[ChangeRecord], commits: Iterable[CommitRecord]
) -> Iterator[Violation]:
    revisions = {commit.change: commit.revision for commit in commits}
    accepted = set()
    refused = []
    for record in records:
        found = revisions.get(record.change)
        if record.outcome is ReportedOutcome.DONE:
            accepted.add(record.change)
            if found != record.revision:
                yield Violation('accepted change lost', f'{record}: {found}')
        if record.outcome is ReportedOutcome.NOT_DONE and found is not None:
            refused.append(record)
    for record in refused:
        if record.change not in accepted:
            yield Violation('refused change in force', str(record))


def _find_order_violations(
    records: Iterable[ChangeRecord],
) -> Iterator[Violation]:
    done = [
        record for record in records if record.outcome is ReportedOutcome.DONE
    ]
    first_submissions = [
        record for record in done if _is_first_submission(record, done)
    ]
    for earlier in done:
        for later in first_submissions:
            is_reversed = earlier.revision > later.revision
            if is_reversed and earlier.ended_at < later.started_at:
                yield Violation('changes out of order', f'{earlier} {later}')


def _is_first_submission(
    record: ChangeRecord, done: Iterable[ChangeRecord]
) -> bool:
    """Return whether a submission is the first of its change.

    A resubmission reports the revision of the first one, so its own times
    say nothing about the order of changes.
    """
    return all(
        other.change != record.change or other.started_at >= record.started_at
        for other in done
    )


def _find_double_runs(runs: Iterable[RunRecord]) -> Iterator[Violation]:
    servers = defaultdict(list)
    for run in runs:
        if run.key:
            servers[run.key].append(run.server)
    for key, addresses in servers.items():
        if len(addresses) > 1:
            yield Violation('key ran twice', f'{key}: {addresses}')


def _find_false_refusals(
    calls: Iterable[CallRecord], runs: Iterable[RunRecord]
) -> Iterator[Violation]:
    executed = {run.nonce for run in runs}
    for call in calls:
        if call.outcome is ReportedOutcome.NOT_DONE and call.nonce in executed:
            yield Violation('refused call ran', str(call))


def _find_mismatched_responses(
    calls: Iterable[CallRecord],
) -> Iterator[Violation]:
    for call in calls:
        if call.outcome is ReportedOutcome.DONE and not call.response_matches:
            yield Violation("answer not the caller's own", str(call))


def _find_responses_without_run(
    calls: Iterable[CallRecord], runs: Iterable[RunRecord]
) -> Iterator[Violation]:
    run_nonces: set[str] = set()
    run_keys: set[str] = set()
    for run in runs:
        run_nonces.add(run.nonce)
        run_keys.add(run.key)
    for call in calls:
        has_run = call.nonce in run_nonces or (
            call.key in run_keys and call.key
        )
        if call.outcome is ReportedOutcome.DONE and not has_run:
            yield Violation('answered call never ran', str(call))
