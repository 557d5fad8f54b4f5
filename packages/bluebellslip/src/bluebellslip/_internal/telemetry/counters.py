"""Metrics exported through OpenTelemetry, cheap enough for the call path.

Counters are kept in dictionaries and exported when metrics are read, so that
incrementing one costs one dictionary update. Histogram values are recorded
in OpenTelemetry directly, through cached instruments.
"""

import functools
from collections import defaultdict
from collections.abc import Callable, Iterable
from typing import Final

from opentelemetry.metrics import CallbackOptions, Histogram, Observation
from opentelemetry.sdk.metrics import (
    AlwaysOffExemplarFilter,
    MeterProvider,
)
from opentelemetry.sdk.metrics.export import InMemoryMetricReader
from opentelemetry.sdk.resources import Resource

_Labels = tuple[tuple[str, str], ...]

# Upper bounds of the buckets; the finest resolve the latency that a node adds
# to a call.
_BOUNDARIES_S: Final = (
    0.0001,
    0.00025,
    0.0005,
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
_EMPTY: Final = b'{"resource_metrics": []}'


class TelemetryCounters:
    """Counters, histograms and gauges of one process.

    Parameters
    ----------
    provider
        Creates the instruments.
    reader
        Collects the values of the provider's instruments.
    """

    def __init__(
        self, provider: MeterProvider, reader: InMemoryMetricReader
    ) -> None:
        self._meter = provider.get_meter('bluebellslip')
        self._reader = reader
        self._sums: dict[str, dict[_Labels, int]] = {}
        self._histograms: dict[str, Histogram] = {}

    @classmethod
    def from_attributes(cls, **attributes: str) -> 'TelemetryCounters':
        """Build the counters of a process with resource attributes."""
        reader = InMemoryMetricReader()
        provider = MeterProvider(
            metric_readers=(reader,),
            resource=Resource(attributes),
            shutdown_on_exit=False,
            # Exemplars refer to traces, which the nodes don't record.
            exemplar_filter=AlwaysOffExemplarFilter(),
        )
        return cls(provider, reader)

    def add(self, name: str, amount: int = 1, **labels: str) -> None:
        """Increment a counter."""
        sums = self._sums.get(name)
        if sums is None:
            sums = self._create_sums(name)
        sums[tuple(labels.items())] += amount

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
        histogram = self._histograms.get(name)
        if histogram is None:
            histogram = self._create_histogram(name)
        histogram.record(value, labels)

    def gauge(self, name: str, read: Callable[[], float]) -> None:
        """Register a gauge whose value is read when metrics are read."""
        collect = functools.partial(_read_gauge, read)
        self._meter.create_observable_gauge(name, [collect])

    def read_json(self) -> bytes:
        """Collect all metrics and return them as JSON."""
        metrics = self._reader.get_metrics_data()
        if metrics is None:
            return _EMPTY
        return metrics.to_json(indent=None).encode()

    def _create_sums(self, name: str) -> dict[_Labels, int]:
        sums: dict[_Labels, int] = defaultdict(int)
        self._sums[name] = sums
        collect = functools.partial(_read_sums, sums)
        self._meter.create_observable_counter(name, [collect])
        return sums

    def _create_histogram(self, name: str) -> Histogram:
        histogram = self._meter.create_histogram(
            name, explicit_bucket_boundaries_advisory=_BOUNDARIES_S
        )
        self._histograms[name] = histogram
        return histogram


def _read_gauge(
    read: Callable[[], float], options: CallbackOptions
) -> Iterable[Observation]:
    return (Observation(read()),)


def _read_sums(
    sums: dict[_Labels, int], options: CallbackOptions
) -> Iterable[Observation]:
    # The same labels in another order are a separate key here; OpenTelemetry
    # sums observations with equal attributes.
    return [Observation(total, dict(labels)) for labels, total in sums.items()]
