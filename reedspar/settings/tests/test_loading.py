"""Tests that errors in a settings file name key, value and broken rule."""

import tempfile
import unittest
from pathlib import Path

from reedspar.settings import SettingsError, load_settings

VALID_AGENT = """
name = "agent-1"
role = "agent"
zone = "kingston-a"
region = "kingston"
port = 7001
http_port = 7002

[platform]
key_value_url = "http://127.0.0.1:9000"
instance_list_url = "http://127.0.0.1:9001"
origin_url = "http://127.0.0.1:9002"

[target]
kind = "model_engine"
pool = "quotes"
url = "http://127.0.0.1:9100"
"""


class LoadSettingsTest(unittest.TestCase):
    def load(self, text: str):
        with tempfile.TemporaryDirectory() as folder:
            path = Path(folder) / "settings.toml"
            path.write_text(text)
            return load_settings(path)

    def assert_refused(self, text: str, *parts: str) -> None:
        with self.assertRaises(SettingsError) as caught:
            self.load(text)
        for part in parts:
            self.assertIn(part, str(caught.exception))

    def test_missing_settings_have_defaults(self) -> None:
        settings = self.load(VALID_AGENT)
        self.assertEqual(settings.target.cold_concurrency, 1)

    def test_bad_value_names_key_and_value(self) -> None:
        self.assert_refused(
            VALID_AGENT.replace("port = 7001", "port = 70010"), "port = 70010", "65535"
        )

    def test_unknown_key_is_refused(self) -> None:
        self.assert_refused(
            VALID_AGENT.replace("pool =", "pol ="), "target.pol", "pool"
        )

    def test_agent_without_target_is_refused(self) -> None:
        self.assert_refused(VALID_AGENT[: VALID_AGENT.index("[target]")], "[target]")

    def test_missing_file_and_invalid_toml_are_refused(self) -> None:
        with self.assertRaises(SettingsError):
            load_settings(Path("/nonexistent/settings.toml"))
        self.assert_refused("name = ", "not TOML")


if __name__ == "__main__":
    unittest.main()
