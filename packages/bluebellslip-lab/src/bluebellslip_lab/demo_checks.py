"""Summary of a demo run, and the checks that it must pass."""

import datetime as dt
from typing import Final

import msgspec

MAX_CONVERGENCE_TIME: Final = dt.timedelta(seconds=11)
MAX_BAD_VERSION_SHARE: Final = 0.05
NOT_CONVERGED_MS: Final = 1e9  # reported if some node did not converge in time

_MS: Final = dt.timedelta(milliseconds=1)


class Summary(msgspec.Struct):
    """Figures of one run, printed as JSON in the demo's last line.

    ``failed_calls`` counts calls without a complete successful response
    after all retries, ``failed_by_bad_version`` the failed calls whose last
    response came from the bad version. ``refused_not_run`` counts requests
    reported as not run, ``false_refusals`` those of them that ran.
    ``bad_version_calls`` counts runs on servers of the bad version,
    ``moved_service_calls`` runs on all servers of the same service.
    """

    converged_ms: float = 0
    calls: int = 0
    failed_calls: int = 0
    failed_by_bad_version: int = 0
    refused_not_run: int = 0
    wrong_answers: int = 0
    double_runs: int = 0
    false_refusals: int = 0
    uploads: int = 0
    generator_lag_ms: float = 0
    good_moves_done: int = 0
    good_move_s: float = 0
    bad_moves_withdrawn: int = 0
    bad_move_s: float = 0
    bad_version_calls: int = 0
    moved_service_calls: int = 0
    revisions_back: int = 0
    node_returned: bool = False
    stopped_cleanly: bool = False
    audit_rows: int = 0
    control_bytes_per_node_s: float = 0
    seconds: float = 0


def run_checks(summary: Summary) -> dict[str, bool]:
    """Return the result of every check by its description."""
    converged_in_time = summary.converged_ms * _MS <= MAX_CONVERGENCE_TIME
    bad_version_share = summary.bad_version_calls / max(
        summary.moved_service_calls, 1
    )
    other_failed_calls = summary.failed_calls - summary.failed_by_bad_version
    return {
        'configuration applied on every node in time': converged_in_time,
        'calls were made': summary.calls > 0,
        'no call failed except on the bad version': other_failed_calls == 0,
        'no wrong response': summary.wrong_answers == 0,
        'no idempotency key ran twice': summary.double_runs == 0,
        'no call reported as not run had run': summary.false_refusals == 0,
        'uploads were made': summary.uploads > 0,
        'move to the good version done in time': summary.good_moves_done == 1,
        'bad version withdrawn': summary.bad_moves_withdrawn == 1,
        'bad version got a small share of the calls': bad_version_share
        <= MAX_BAD_VERSION_SHARE,
        'no node went back to an older revision': summary.revisions_back == 0,
        'killed node returned to service': summary.node_returned,
        'every node and server stopped gracefully': summary.stopped_cleanly,
        'changes and moves were audited': summary.audit_rows > 0,
        'control traffic was measured': summary.control_bytes_per_node_s > 0,
    }
