"""Tests of the rejection of invalid settings, and of message registration."""

import contextlib
import io
import tempfile
import unittest
from pathlib import Path
from unittest import mock

from reedspar.daemon import main as command
from reedspar.daemon.node import create_registry
from reedspar.links import Hello
from reedspar.requests.messages import ClaimRequest
from reedspar.weights.messages import ChunkRequest


class MainTest(unittest.TestCase):
    def run_command(self, text: str) -> tuple[object, str]:
        errors = io.StringIO()
        with tempfile.TemporaryDirectory() as folder:
            path = Path(folder) / "entry.toml"
            path.write_text(text)
            with (
                mock.patch.object(command.anyio, "run") as run,
                contextlib.redirect_stderr(errors),
                self.assertRaises(SystemExit) as caught,
            ):
                command.main(["--settings", str(path)])
            run.assert_not_called()
        return caught.exception.code, errors.getvalue()

    def test_invalid_settings_are_reported_with_key_value_and_rule(self) -> None:
        code, errors = self.run_command('name = "Entry One"\nrole = "entry"\n')
        self.assertEqual(code, command.EXIT_SETTINGS)
        self.assertIn("name = 'Entry One'", errors)
        self.assertIn("zone: Field required", errors)

    def test_messages_of_every_package_are_registered(self) -> None:
        # Without this, a missing registration would only fail when the first message
        # of the package is sent.
        registry = create_registry()
        for message_class in (Hello, ClaimRequest, ChunkRequest):
            self.assertIsNotNone(registry.for_class(message_class))


if __name__ == "__main__":
    unittest.main()
