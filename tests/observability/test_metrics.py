"""Tests of the metrics."""

from pathlib import Path

import mangoway
from mangoway.observability.metrics import Metrics


class TestMetrics:
    """Tests of rendering in the Prometheus text format."""

    def test_counter_is_rendered_with_its_labels(self) -> None:
        metrics = Metrics()
        metrics.requests.add("urgent", "refused", "overloaded")
        metrics.requests.add("urgent", "refused", "overloaded", amount=2)
        line = (
            'mangoway_requests_total{code="overloaded",outcome="refused",'
            'work_class="urgent"} 3.0'
        )
        assert line in metrics.render().decode().splitlines()

    def test_rendering_twice_does_not_count_twice(self) -> None:
        metrics = Metrics()
        metrics.retries.add("upstream_busy")
        assert metrics.render() == metrics.render()

    def test_dropped_gauge_is_not_rendered(self) -> None:
        metrics = Metrics()
        metrics.queue_length.set("chat@1", level=4)
        assert b'mangoway_queue_length{target="chat@1"} 4' in metrics.render()
        metrics.queue_length.drop("chat@1")
        assert b"chat@1" not in metrics.render()

    def test_histogram_counts_by_bucket(self) -> None:
        metrics = Metrics()
        metrics.key_value_seconds.observe("range", seconds=0.004)
        lines = metrics.render().decode().splitlines()
        assert 'mangoway_key_value_seconds_bucket{call="range",le="0.002"} 0.0' in lines
        assert 'mangoway_key_value_seconds_bucket{call="range",le="0.005"} 1.0' in lines

    def test_every_family_is_set_somewhere(self) -> None:
        files = Path(mangoway.__file__).parent.rglob("*.py")
        code = "\n".join(file.read_text() for file in files)
        families = [name for name in vars(Metrics()) if not name.startswith("_")]
        assert [name for name in families if f"metrics.{name}" not in code] == []
