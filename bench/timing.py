"""Times of short actions."""

import time
from collections.abc import Callable


def take_least(action: Callable[[], object], repetitions: int) -> float:
    """Return the least time of several repetitions, in seconds."""
    best = float('inf')
    for _ in range(repetitions):
        begun = time.perf_counter()
        action()
        best = min(best, time.perf_counter() - begun)
    return best
