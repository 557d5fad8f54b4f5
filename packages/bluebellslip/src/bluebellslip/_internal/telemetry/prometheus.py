"""Metrics of one process in the Prometheus text format.

Incrementing a counter costs a dictionary update. The library that writes the
format is imported at the first request for metrics, which most processes
never get.
"""

import bisect
from collections.abc import Callable, Iterable, Iterator
from typing import TYPE_CHECKING, Final

if TYPE_CHECKING:
    from prometheus_client import Metric

_Labels = tuple[tuple[str, str], ...]
_PREFIX: Final = 'bluebell_'
# Upper bounds of the buckets; the finest resolves the latency that a node adds
# to a request.
BOUNDARIES_S: Final = (
    0.001,
    0.0025,
    0.005,
    0.01,
    0.025,
    0.05,
    0.1,
    0.25,
    0.5,
    1.0,
    2.5,
    5.0,
    10.0,
)
# Maximum number of label sets per metric, since operators may declare any
# number of routes; further label sets are counted in one common series.
MAX_SERIES: Final = 512
_OVERFLOW_LABELS: Final[_Labels] = (('others', 'true'),)


class _Histogram:
    __slots__ = ('counts', 'total')

    def __init__(self) -> None:
        self.counts = [0 for _ in range(len(BOUNDARIES_S) + 1)]
        self.total = 0.0

    def observe(self, value: float) -> None:
        self.counts[bisect.bisect_left(BOUNDARIES_S, value)] += 1
        self.total += value

    def read_buckets(self) -> list[tuple[str, float]]:
        """Return pairs of upper bound and cumulative count."""
        pairs: list[tuple[str, float]] = []
        cumulative = 0
        bounds = (*map(str, BOUNDARIES_S), '+Inf')
        for bound, count in zip(bounds, self.counts, strict=True):
            cumulative += count
            pairs.append((bound, cumulative))
        return pairs


class PrometheusCounters:
    """Counters, histograms and gauges; see ``Counters``."""

    def __init__(self) -> None:
        self._sums: dict[str, dict[_Labels, int]] = {}
        self._histograms: dict[str, dict[_Labels, _Histogram]] = {}
        self._gauges: dict[str, Callable[[], float]] = {}

    def add(self, name: str, amount: int = 1, **labels: str) -> None:
        """Increment a counter."""
        series = self._sums.setdefault(name, {})
        key = tuple(labels.items())
        if key not in series and len(series) >= MAX_SERIES:
            key = _OVERFLOW_LABELS
        series[key] = series.get(key, 0) + amount

    def fold(self, name: str, label: str, value: str, into: str) -> None:
        """Add the series with a label's value to those with another value."""
        series = self._sums.get(name, {})
        ended = [key for key in series if (label, value) in key]
        for key in ended:
            folded = tuple(
                (label, into) if pair == (label, value) else pair
                for pair in key
            )
            series[folded] = series.get(folded, 0) + series.pop(key)

    def observe(self, name: str, value: float, **labels: str) -> None:
        """Record a value, in seconds unless the name has another unit."""
        series = self._histograms.setdefault(name, {})
        key = tuple(labels.items())
        if key not in series and len(series) >= MAX_SERIES:
            key = _OVERFLOW_LABELS
        histogram = series.get(key)
        if histogram is None:
            histogram = _Histogram()
            series[key] = histogram
        histogram.observe(value)

    def gauge(self, name: str, read: Callable[[], float]) -> None:
        """Register a gauge whose value is read when metrics are read."""
        self._gauges[name] = read

    def read_text(self) -> bytes:
        """Return all metrics as text."""
        from prometheus_client import CollectorRegistry, generate_latest

        registry = CollectorRegistry()
        registry.register(self)
        return generate_latest(registry)

    def collect(self) -> Iterator['Metric']:
        """Yield all metrics; the library calls this."""
        from prometheus_client.core import (
            CounterMetricFamily,
            GaugeMetricFamily,
        )

        for name, sums in self._sums.items():
            names = _list_label_names(sums)
            counter = CounterMetricFamily(_PREFIX + name, name, labels=names)
            for labels, amount in sums.items():
                counter.add_metric(_order_values(labels, names), amount)
            yield counter
        for gauge, read in self._gauges.items():
            yield GaugeMetricFamily(_PREFIX + gauge, gauge, value=read())
        yield from self._collect_histograms()

    def _collect_histograms(self) -> Iterator['Metric']:
        from prometheus_client.core import HistogramMetricFamily

        for name, series in self._histograms.items():
            names = _list_label_names(series)
            family = HistogramMetricFamily(_PREFIX + name, name, labels=names)
            for labels, histogram in series.items():
                family.add_metric(
                    _order_values(labels, names),
                    histogram.read_buckets(),
                    histogram.total,
                )
            yield family


def _list_label_names(series: Iterable[_Labels]) -> list[str]:
    return sorted({name for labels in series for name, _ in labels})


def _order_values(labels: _Labels, names: list[str]) -> list[str]:
    label_values = dict(labels)
    return [label_values.get(name, '') for name in names]
