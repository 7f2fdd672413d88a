"""Tests of `reedspar explain` through the command line."""

import contextlib
import io
import json
import tempfile
import unittest
from pathlib import Path

from reedspar.tool.exit_codes import ExitCode
from reedspar.tool.main import main

ENDING = {
    "time": "2026-10-16T03:52:48.110000Z",
    "level": "info",
    "process": "entry-1",
    "message": "request not-run overloaded",
    "request_id": "r1",
    "pool": "quotes",
    "targets": [],
    "elapsed_ms": 0,
    "failure": "route failed (overloaded): the first answer is expected in 0.61 s",
}
SUMMARY = {
    "time": "2026-10-16T03:52:50.000000Z",
    "process": "entry-1",
    "message": "requests ended",
    "left_out": 12,
}


class ExplainTest(unittest.TestCase):
    def setUp(self) -> None:
        folder = tempfile.TemporaryDirectory()
        self.addCleanup(folder.cleanup)
        self.log = Path(folder.name, "entry-1.log")
        lines = [json.dumps(ENDING), "Traceback (most recent call last):"]
        self.log.write_text("\n".join([*lines, json.dumps(SUMMARY)]))

    def run_tool(self, *arguments: str) -> tuple[int, str, str]:
        output, errors = io.StringIO(), io.StringIO()
        with contextlib.redirect_stdout(output), contextlib.redirect_stderr(errors):
            code = main(["explain", *arguments])
        return code, output.getvalue(), errors.getvalue()

    def test_refusal_is_explained_without_querying_processes(self) -> None:
        code, output, _ = self.run_tool("r1", str(self.log))
        self.assertEqual(code, ExitCode.OK)
        self.assertIn("it has not run", output)
        self.assertIn("expected in 0.61 s", output)

    def test_explanation_is_available_as_json(self) -> None:
        code, output, _ = self.run_tool("--json", "r1", str(self.log))
        self.assertEqual(code, ExitCode.OK)
        self.assertEqual(json.loads(output)["own"][0]["process"], "entry-1")

    def test_unknown_id_is_reported_with_possible_reasons(self) -> None:
        code, _, errors = self.run_tool("r2", str(self.log))
        self.assertEqual(code, ExitCode.NOT_FOUND)
        self.assertIn("12", errors)

    def test_missing_file_is_named(self) -> None:
        code, _, errors = self.run_tool("r1", "/nowhere/a.log")
        self.assertEqual(code, ExitCode.NOT_FOUND)
        self.assertIn("/nowhere/a.log", errors)


if __name__ == "__main__":
    unittest.main()
