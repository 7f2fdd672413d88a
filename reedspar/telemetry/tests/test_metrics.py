"""Tests of metrics and of the reports of invariant violations."""

import unittest

from reedspar.errors import InvariantError
from reedspar.telemetry import (
    check_invariant,
    create_invariant_reporter,
    create_metrics,
    install_invariant_reporter,
)
from reedspar.telemetry.instruments import InstrumentKind, ObservableInstrument
from reedspar.telemetry.metrics import list_instruments
from reedspar.timeline import EventKind, create_event_recorder


class MetricsTest(unittest.TestCase):
    def test_every_instrument_is_rendered_under_its_documented_name(self) -> None:
        metrics = create_metrics("entry-1", "kingston-a", "entry")
        for attribute, spec in list_instruments().items():
            instrument = getattr(metrics, attribute)
            labels = dict.fromkeys(spec.attributes, "x")
            if isinstance(instrument, ObservableInstrument):
                instrument.set_callback(lambda labels=labels: [(3.5, labels)])
            elif spec.kind is InstrumentKind.HISTOGRAM:
                instrument.record(0.2, labels)
            else:
                instrument.add(2, labels)
        text = metrics.render().decode()
        families = {line.split()[2] for line in text.splitlines() if "# TYPE" in line}
        for spec in list_instruments().values():
            self.assertIn(spec.prometheus_name, families)
        self.assertIn('reedspar_requests_total{outcome="x",pool="x"} 2.0', text)
        self.assertIn("reedspar_config_version 3.5", text)

    def test_callback_is_called_for_each_scrape(self) -> None:
        metrics = create_metrics()
        ages = iter([1.0, 2.0])
        metrics.freshness_age.set_callback(lambda: next(ages))
        self.assertIn(b"reedspar_config_freshness_age_seconds 1.0", metrics.render())
        self.assertIn(b"reedspar_config_freshness_age_seconds 2.0", metrics.render())


class InvariantTest(unittest.TestCase):
    def test_violation_is_counted_logged_and_recorded(self) -> None:
        metrics = create_metrics()
        recorder = create_event_recorder("entry-1", 1)
        reporter = create_invariant_reporter(metrics, recorder)
        before = install_invariant_reporter(reporter)
        self.addCleanup(install_invariant_reporter, before)
        self.assertTrue(check_invariant(True, "attempt.at_most_once"))
        with self.assertLogs("reedspar.invariants", "ERROR"):
            self.assertFalse(check_invariant(False, "attempt.at_most_once", "r1"))
        self.assertIn(
            'reedspar_invariant_violations_total{name="attempt.at_most_once"} 1.0',
            metrics.render().decode(),
        )
        (event,) = recorder.after(0).events
        self.assertIs(event.kind, EventKind.INVARIANT_BROKEN)
        self.assertEqual(event.detail, "attempt.at_most_once: r1")

    def test_fatal_reporter_raises(self) -> None:
        before = install_invariant_reporter(create_invariant_reporter(is_fatal=True))
        self.addCleanup(install_invariant_reporter, before)
        with (
            self.assertLogs("reedspar.invariants", "ERROR"),
            self.assertRaisesRegex(InvariantError, "offer.whole: 3 chunks"),
        ):
            check_invariant(False, "offer.whole", "3 chunks")


if __name__ == "__main__":
    unittest.main()
