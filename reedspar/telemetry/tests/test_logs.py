"""Tests that logs are JSON lines without customers' texts."""

import io
import json
import logging
import unittest

from reedspar.errors import Failure, Reason, Step
from reedspar.telemetry import JsonFormatter


class JsonFormatterTest(unittest.TestCase):
    def setUp(self) -> None:
        self.stream = io.StringIO()
        handler = logging.StreamHandler(self.stream)
        handler.setFormatter(JsonFormatter({"process": "entry-1"}))
        self.logger = logging.Logger("reedspar.example")
        self.logger.addHandler(handler)

    def read_line(self) -> dict:
        text = self.stream.getvalue()
        self.assertEqual(text.count("\n"), 1)
        return json.loads(text)

    def test_failure_shows_step_and_peer(self) -> None:
        failure = Failure(Reason.TIMEOUT, Step.CLAIM, "10.0.0.1:9000")
        self.logger.warning("claim\nfailed", extra={"failure": failure, "n": 3})
        line = self.read_line()
        self.assertEqual(line["message"], "claim\nfailed")
        self.assertEqual((line["level"], line["process"]), ("warning", "entry-1"))
        self.assertEqual(line["failure"]["step"], "claim")
        self.assertEqual(line["failure"]["peer"], "10.0.0.1:9000")
        self.assertEqual(line["n"], 3)

    def test_bodies_and_secrets_are_withheld(self) -> None:
        # If a log call is passed a request with its body or headers, a customer's order
        # must not become readable in the operators' logs.
        extras = {
            "body": "Carmen's order",
            "request": {"Authorization": "Carmen's key", "path": "/v1"},
            "frame": b"Carmen's frame",
        }
        self.logger.info("request", extra=extras)
        self.assertNotIn("Carmen", self.stream.getvalue())
        line = self.read_line()
        self.assertEqual(line["frame"], "<14 bytes>")
        self.assertEqual(line["request"]["path"], "/v1")

    def test_exception_stays_on_the_line(self) -> None:
        try:
            raise ValueError("broken")
        except ValueError:
            self.logger.exception("failed")
        self.assertIn("ValueError: broken", self.read_line()["exception"])


if __name__ == "__main__":
    unittest.main()
