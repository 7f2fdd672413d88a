"""Tests that the pages match the code: links, metrics, commands, settings, examples."""

import ast
import contextlib
import importlib.util
import io
import re
import unittest
from collections.abc import Iterator
from pathlib import Path

import cappa
from pydantic import BaseModel

from reedspar.settings import DaemonSettings, SiteSettings
from reedspar.settings.site import SocketAddress
from reedspar.telemetry.metrics import list_instruments
from reedspar.timeline import EventKind
from reedspar.tool import ExitCode
from reedspar.tool.main import Tool

REPOSITORY_ROOT = Path(__file__).resolve().parent.parent
PAGES = [
    REPOSITORY_ROOT / "README.md",
    *sorted((REPOSITORY_ROOT / "docs").rglob("*.md")),
]
LINK = re.compile(r"\]\(([^)\s]+)\)")
CODE = re.compile(r"`([^`\n]+)`")
SCRIPT = re.compile(r"(?:^|\s|`)(\./[\w./-]+)")
MODULE = re.compile(r"python -m ([\w.]+)")
FOLDERS = ("reedspar", "docs", "tests", "bench", "stand_ins", "changes")
PATH = re.compile(rf"^(?:{'|'.join(FOLDERS)})/[\w./-]+$")
EXAMPLE = re.compile(r"```python\n(.*?)```", re.DOTALL)
PLACEHOLDERS = frozenset({"bench.NAME"})
LOG_METHODS = frozenset({"info", "warning", "error", "exception", "critical"})
LOGGER_NAMES = frozenset({"logger", "log"})


def read_page(name: str) -> str:
    return (REPOSITORY_ROOT / "docs" / name).read_text()


def list_product_modules() -> Iterator[Path]:
    for path in sorted((REPOSITORY_ROOT / "reedspar").rglob("*.py")):
        if "tests" not in path.parts:
            yield path


class PathsTest(unittest.TestCase):
    def test_relative_links_resolve(self) -> None:
        for page in PAGES:
            for target in LINK.findall(page.read_text()):
                if "://" in target or target.startswith("#"):
                    continue
                path = page.parent / target.partition("#")[0]
                self.assertTrue(path.exists(), f"{page.name}: {target}")

    def test_named_files_and_scripts_exist(self) -> None:
        for page in PAGES:
            text = page.read_text()
            named = set(SCRIPT.findall(text))
            named |= {code for code in CODE.findall(text) if PATH.match(code)}
            for path in named:
                path = path.rstrip(".")
                self.assertTrue(
                    (REPOSITORY_ROOT / path).exists(), f"{page.name}: {path}"
                )

    def test_named_modules_exist(self) -> None:
        for page in PAGES:
            for module in set(MODULE.findall(page.read_text())) - PLACEHOLDERS:
                found = importlib.util.find_spec(module)
                self.assertIsNotNone(found, f"{page.name}: python -m {module}")

    def test_every_page_is_in_the_index(self) -> None:
        index = set(LINK.findall(read_page("README.md")))
        for page in PAGES[1:]:
            name = str(page.relative_to(REPOSITORY_ROOT / "docs"))
            if name != "README.md":
                self.assertIn(name, index)


class OperatorsPageTest(unittest.TestCase):
    def setUp(self) -> None:
        self.page = read_page("operators.md")

    def test_page_lists_exactly_the_declared_metrics(self) -> None:
        declared = {spec.prometheus_name for spec in list_instruments().values()}
        named = set(re.findall(r"^\| `(reedspar_\w+)`", self.page, re.MULTILINE))
        self.assertEqual(named, declared)
        for spec in list_instruments().values():
            labels = ", ".join(spec.attributes) or "-"
            self.assertIn(f"| `{spec.prometheus_name}` | {labels} |", self.page)

    def test_every_metric_is_recorded_somewhere(self) -> None:
        source = "\n".join(
            path.read_text()
            for path in list_product_modules()
            if path.parent.name != "telemetry" or path.name == "invariants.py"
        )
        for attribute in list_instruments():
            self.assertRegex(source, rf"metrics\.{attribute}\b")

    def test_alarms_use_metrics_that_exist(self) -> None:
        declared = {spec.prometheus_name for spec in list_instruments().values()}
        alarms = self.page.partition("## Alarms")[2].partition("## ")[0]
        used = set(re.findall(r"reedspar_\w*[a-z]\b(?!\*)", alarms))
        self.assertTrue(used)
        self.assertLessEqual(used - {"reedspar_chunks_"}, declared)

    def test_every_event_kind_is_listed_and_recorded_somewhere(self) -> None:
        source = "\n".join(
            path.read_text()
            for path in list_product_modules()
            if path.parent.name != "timeline"
        )
        for kind in EventKind:
            self.assertIn(f"| `{kind.value}` |", self.page)
            self.assertIn(f"EventKind.{kind.name}", source)

    def test_every_log_message_is_listed(self) -> None:
        for path in list_product_modules():
            for message in read_log_messages(path):
                self.assertIn(f"| `{message}` |", self.page, path.name)


def read_log_messages(path: Path) -> Iterator[str]:
    """Yield the messages of calls such as ``logger.info("started")``."""
    for node in ast.walk(ast.parse(path.read_text())):
        if not isinstance(node, ast.Call) or not isinstance(node.func, ast.Attribute):
            continue
        owner = node.func.value
        is_logger = (
            isinstance(owner, ast.Name)
            and owner.id.lower().strip("_") in LOGGER_NAMES
            and node.func.attr in LOG_METHODS
        )
        if is_logger and isinstance(node.args[0], ast.Constant):
            yield node.args[0].value


class ToolPageTest(unittest.TestCase):
    def setUp(self) -> None:
        self.page = read_page("tool.md")

    def list_commands(self, command, words: tuple[str, ...]) -> Iterator[tuple]:
        yield words, command
        for argument in command.arguments:
            for name, subcommand in getattr(argument, "options", {}).items():
                yield from self.list_commands(subcommand, (*words, name))

    def test_every_command_and_option_is_listed(self) -> None:
        commands = list(
            self.list_commands(cappa.collect(Tool, completion=False), ("reedspar",))
        )
        self.assertGreater(len(commands), 12)
        for words, command in commands:
            is_group = any(
                getattr(argument, "options", None) for argument in command.arguments
            )
            if not is_group:
                self.assertRegex(self.page, rf"`{' '.join(words)}[ `]")
            for argument in command.arguments:
                for option in getattr(argument, "long", None) or ():
                    if option != "--help":
                        self.assertIn(option, self.page, words)

    def test_page_lists_exactly_the_exit_codes(self) -> None:
        codes = re.findall(r"^\| (\d+) \|", self.page, re.MULTILINE)
        self.assertEqual([int(code) for code in codes], [int(c) for c in ExitCode])


class SettingsPageTest(unittest.TestCase):
    def test_page_lists_exactly_the_settings_with_descriptions(self) -> None:
        page = read_page("settings.md")
        named = set(re.findall(r"^\| `([\w.]+)` \|", page, re.MULTILINE))
        keys = set()
        for key, line in self.list_settings(DaemonSettings, ""):
            keys.add(key)
            self.assertIn(line, page)
        self.assertEqual(named, keys)

    def test_page_lists_exactly_the_settings_of_a_site(self) -> None:
        page = read_page("site.md").split("## Settings")[1]
        named = set(re.findall(r"^\| `([\w.]+)` \|", page, re.MULTILINE))
        keys = set()
        for key, line in self.list_settings(SiteSettings, ""):
            if key.startswith("weights."):
                continue  # The page of all settings lists them.
            keys.add(key)
            self.assertIn(f"| `{key}` {line}", page)
        self.assertEqual(named, keys)

    def list_settings(self, model, prefix: str) -> Iterator[tuple[str, str]]:
        for name, field in model.model_fields.items():
            section = find_model(field.annotation)
            if section is not None and section is not SocketAddress:
                yield from self.list_settings(section, f"{prefix}{name}.")
                continue
            key = prefix + name
            yield key, f"| {field.description} |"


def find_model(annotation) -> type[BaseModel] | None:
    """Return the model class in an annotation such as `Model` or `Model | None`."""
    candidates = [annotation, *getattr(annotation, "__args__", ())]
    for candidate in candidates:
        if isinstance(candidate, type) and issubclass(candidate, BaseModel):
            return candidate
    return None


class ExamplesTest(unittest.TestCase):
    def test_getting_started_examples_run(self) -> None:
        ran = 0
        for page in PAGES:
            text = page.read_text()
            section = text.partition("## Getting started")[2].partition("\n## ")[0]
            for source in EXAMPLE.findall(section):
                with self.subTest(page=page.name):
                    code = compile(source, str(page), "exec")
                    with contextlib.redirect_stdout(io.StringIO()):
                        exec(code, {"__name__": "example"})
                    ran += 1
        self.assertGreaterEqual(ran, 4)


if __name__ == "__main__":
    unittest.main()
