"""Timing of short actions."""

import time
from collections.abc import Callable


def measure_min_time(action: Callable[[], object], repetitions: int) -> float:
    """Return the minimum time of several repetitions, in seconds."""
    min_time = float('inf')
    for _ in range(repetitions):
        start = time.perf_counter()
        action()
        min_time = min(min_time, time.perf_counter() - start)
    return min_time
