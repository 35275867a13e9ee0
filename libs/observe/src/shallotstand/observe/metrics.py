"""Counters, gauges and latency histograms of one process."""

from collections.abc import Callable, Iterable, Iterator, Mapping
from typing import Any

from hdrh.histogram import HdrHistogram
from prometheus_client import CollectorRegistry, Counter, generate_latest
from prometheus_client.core import GaugeMetricFamily, SummaryMetricFamily
from prometheus_client.registry import Collector

_NAMESPACE = "shallotstand"
_LOWEST_US = 1
_HIGHEST_US = 3_600_000_000
_SIGNIFICANT_DIGITS = 3
_US_PER_S = 1_000_000
_QUANTILES = (0.5, 0.9, 0.99, 0.999)


class LatencyHistogram:
    """Histogram of durations up to an hour, exact to three digits."""

    def __init__(self) -> None:
        self._histogram = HdrHistogram(
            _LOWEST_US, _HIGHEST_US, _SIGNIFICANT_DIGITS
        )
        self.total_s = 0.0

    @property
    def count(self) -> int:
        """Number of durations recorded."""
        return self._histogram.get_total_count()

    def record(self, seconds: float) -> None:
        """Records a duration."""
        microseconds = max(
            _LOWEST_US, min(_HIGHEST_US, int(seconds * _US_PER_S))
        )
        self._histogram.record_value(microseconds)
        self.total_s += seconds

    def quantile(self, quantile: float) -> float:
        """Returns a quantile, such as 0.99, in seconds."""
        value = self._histogram.get_value_at_percentile(quantile * 100)
        return value / _US_PER_S


class _LatencyCollector(Collector):
    """Exposes the latencies of a metric, one histogram for each label value."""

    def __init__(self, name: str, description: str, label: str):
        self._name = name
        self._description = description
        self._label = label
        self.histograms_by_label: dict[str, LatencyHistogram] = {}

    def collect(self) -> Iterator[GaugeMetricFamily | SummaryMetricFamily]:
        """Yields a summary with the counts and a gauge with the quantiles."""
        summary = SummaryMetricFamily(
            self._name, self._description, labels=[self._label]
        )
        quantiles = GaugeMetricFamily(
            f"{self._name}_quantile",
            self._description,
            labels=[self._label, "quantile"],
        )
        for label, histogram in self.histograms_by_label.items():
            summary.add_metric([label], histogram.count, histogram.total_s)
            for quantile in _QUANTILES:
                quantiles.add_metric(
                    [label, str(quantile)], histogram.quantile(quantile)
                )
        yield summary
        yield quantiles


class _GaugeCollector(Collector):
    """Exposes a gauge whose values are read at each scrape."""

    def __init__(
        self,
        name: str,
        description: str,
        label: str,
        read: Callable[[], Iterable[tuple[str, float]]],
    ):
        self._name = name
        self._description = description
        self._label = label
        self._read = read

    def collect(self) -> Iterator[GaugeMetricFamily]:
        """Yields the gauge with its current values."""
        gauge = GaugeMetricFamily(
            self._name, self._description, labels=[self._label]
        )
        for label, value in self._read():
            gauge.add_metric([label], value)
        yield gauge


class Metrics:
    """Metrics of a process.

    Attributes:
      requests: Requests that ended, by service and result code.
      tokens: Tokens served, by client account.
      violations: Violations of conditions that must always hold, by condition;
        any value but zero should raise an alert.
      pages: Further pages that are served beside the metrics, by path. Each
        takes the query and returns a JSON object.
    """

    def __init__(self) -> None:
        self.pages: dict[str, Callable[[Mapping[str, str]], Any]] = {}
        self._registry = CollectorRegistry()
        self.requests = self.counter(
            "requests", "Requests that ended.", "service", "code"
        )
        self.tokens = self.counter("tokens", "Tokens served.", "account")
        self.violations = self.counter(
            "violations",
            "Breaches of the conditions that must always hold.",
            "condition",
        )

    def latency(self, name: str, description: str, label: str) -> Callable:
        """Adds a latency metric.

        Args:
          name: Name without the namespace, such as `request_seconds`.
          description: Help text.
          label: Name of its label.

        Returns:
          A function that records a latency in seconds for a label value.
        """
        collector = _LatencyCollector(
            f"{_NAMESPACE}_{name}", description, label
        )
        self._registry.register(collector)

        def record(label_value: str, seconds: float) -> None:
            if label_value not in collector.histograms_by_label:
                collector.histograms_by_label[label_value] = LatencyHistogram()
            collector.histograms_by_label[label_value].record(seconds)

        return record

    def gauge(
        self,
        name: str,
        description: str,
        label: str,
        read: Callable[[], Iterable[tuple[str, float]]],
    ) -> None:
        """Adds a gauge whose values are read at each scrape."""
        self._registry.register(
            _GaugeCollector(f"{_NAMESPACE}_{name}", description, label, read)
        )

    def exposition(self) -> bytes:
        """Returns all metrics in the Prometheus text format."""
        return generate_latest(self._registry)

    def counter(self, name: str, description: str, *labels: str) -> Counter:
        """Adds a counter."""
        return Counter(
            name,
            description,
            labels,
            namespace=_NAMESPACE,
            registry=self._registry,
        )
