"""Tests of the metrics that the platform collects."""

from __future__ import annotations

import re

from tornado import testing

from damaskpin import telemetry as telemetry_module
from damaskpin.platform import metrics


class MetricsTest(testing.AsyncHTTPTestCase):
    """Tests the metrics as the collector fetches them."""

    def get_app(self):
        self.telemetry = telemetry_module.Telemetry('entry-1')
        counts = {'placed': 3, 'done': 2}
        self.telemetry.register_counters(
            'damaskpin.runs', 'runs', lambda: counts
        )
        return metrics.make_metrics_application(self.telemetry)

    def tearDown(self):
        self.telemetry.close()
        super().tearDown()

    def test_counts_are_served_by_kind(self):
        """Guards against run counts that are not broken down by kind."""
        self.telemetry.verdict_seconds.record(0.2, {'action': 'submit'})
        metrics_text = self.fetch(metrics.METRICS_PATH).body.decode()
        assert re.search(
            r'damaskpin_runs_total\{kind="placed",.*\} 3\.0', metrics_text
        )
        assert 'damaskpin_duration_seconds_bucket' in metrics_text
