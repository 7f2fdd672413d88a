"""Tests of the commands targets, entries, watch and timeline."""

import contextlib
import io
import json
import os
import tempfile
import unittest
from dataclasses import replace
from pathlib import Path
from unittest import mock

import httpx
from rich.console import Console

from reedspar.admin import AdminClient, AgentStatus, TransferStatus, create_admin_app
from reedspar.configuration import ConfigurationDocument
from reedspar.timeline import (
    EventKind,
    EventRecorder,
    event_to_json,
    format_caller_id,
)
from reedspar.tool.exit_codes import ExitCode
from reedspar.tool.main import main
from reedspar.tool.session import create_session
from reedspar.tool.watch_command import TargetProgress, render_progress

from .fake_fleet import POOLS, FleetTest

NEW_DIGEST, OLD_DIGEST = "ab" * 32, "cd" * 32


class FleetCommandsTest(FleetTest):
    def setUp(self) -> None:
        super().setUp()
        model = {
            "label": "march",
            "sequence": 2,
            "manifest_digest": "ef" * 32,
            "root_digest": NEW_DIGEST,
            "size_bytes": 1000,
        }
        document = {"version": 5, "pools": POOLS, "models": {"drafter": model}}
        self.configuration.documents.append(
            ConfigurationDocument.model_validate(document)
        )

    def set_agent(self, index: int, offered: str, *transfers: TransferStatus) -> None:
        self.daemons[index].agent = AgentStatus(
            pool="quotes",
            target_status="ready",
            limit=4,
            offered={"drafter": offered},
            transfers=transfers,
        )

    def test_targets_show_versions_and_unreachable_agents(self) -> None:
        self.set_agent(2, OLD_DIGEST)
        self.make_unreachable("http://127.0.0.1:8004")
        run = self.run_tool("targets")
        self.assertEqual(run.code, ExitCode.INCOMPLETE)
        header, first, second, total = run.output.splitlines()
        self.assertEqual(total, "2 in all: 1 ready, 1 unreachable")
        self.assertIn("drafter=cdcdcdcdcdcd", first)
        self.assertEqual(header.index("STATE"), first.index("ready"))
        self.assertEqual(header.index("STATE"), second.index("unreachable"))
        self.assertIn("link failed at http://127.0.0.1:8004", run.errors)
        found = self.run_tool("targets", "--json").json
        self.assertEqual(
            found[0]["status"]["agent"]["offered"], {"drafter": OLD_DIGEST}
        )
        self.assertIn("error", found[1])

    def test_long_names_are_not_wrapped(self) -> None:
        # Names are copied from the table into other commands.  A name that is wrapped
        # on a narrow terminal would not be accepted there.
        file = io.StringIO()
        session = create_session(AdminClient(None, []), output=file)
        narrow = Console(file=file, width=40, force_terminal=True)
        narrow_session = replace(session, output=narrow)
        name = "a-target-with-a-long-name-of-its-own-17"
        narrow_session.show_table(["target", "zone"], [[name, "kingston-a"]])
        self.assertIn(f"{name}  kingston-a", file.getvalue())

    def test_entries_show_the_age_of_the_confirmation(self) -> None:
        run = self.run_tool("entries")
        self.assertEqual(run.code, ExitCode.OK)
        self.assertIn("0.2 s", run.output.splitlines()[1])

    def test_watch_ends_when_all_targets_offer_the_version(self) -> None:
        transfer = TransferStatus(
            model="drafter",
            root_digest=NEW_DIGEST,
            phase="fetching",
            bytes_held=250,
            bytes_total=1000,
        )
        self.set_agent(2, NEW_DIGEST)
        self.set_agent(3, OLD_DIGEST, transfer)
        run = self.run_tool("watch", "drafter", "--until", "0", "--json")
        self.assertEqual(run.code, ExitCode.INCOMPLETE)
        shares = {t["target"]: t["share"] for t in run.json["targets"]}
        self.assertEqual(shares, {"agent-1": 1.0, "agent-2": 0.25})
        self.set_agent(3, NEW_DIGEST)
        done = self.run_tool("watch", "drafter")
        self.assertEqual(done.code, ExitCode.OK)
        self.assertIn("2 of 2 targets offer drafter", done.output)
        unknown = self.run_tool("watch", "nothing")
        self.assertEqual(unknown.code, ExitCode.NOT_FOUND)

    def test_timeline_merges_processes_and_reports_gaps(self) -> None:
        for index in (0, 2):
            self.daemons[index].recorder.record(
                EventKind.ATTEMPT_SENT, request_id="r1", attempt=1
            )
            self.daemons[index].recorder.record(EventKind.LINK_UP)
        self.make_unreachable("http://127.0.0.1:8004")
        run = self.run_tool("timeline", "--request", "r1")
        self.assertEqual(run.code, ExitCode.INCOMPLETE)
        self.assertEqual(len(run.output.splitlines()), 4)
        self.assertIn("missing from the time line: agent-2", run.errors)

    def test_overflowed_rings_are_reported_as_a_note_not_a_gap(self) -> None:
        # The rings of busy processes are always full.  If dropped events counted as
        # missing, each time line would end with a line per process of the fleet, and
        # the exit code of an incomplete time line would be meaningless.
        for index, start_s in ((0, 100.0), (2, 200.0)):
            clock = iter(range(1000))
            recorder = EventRecorder(
                self.daemons[index].name,
                3,
                capacity=2,
                wall_clock=lambda c=clock, s=start_s: s + next(c),
            )
            self.daemons[index].recorder = recorder
            for _ in range(5):
                recorder.record(EventKind.LINK_UP)
            app = create_admin_app(self.daemons[index].create_sources())
            address = f"http://127.0.0.1:{self.daemons[index].http_port}"
            self.transports[address] = httpx.ASGITransport(app)
        run = self.run_tool("timeline")
        self.assertEqual(run.code, ExitCode.OK)
        self.assertIn("complete since 1970-01-01T00:03:23", run.errors)
        self.assertEqual(len(run.errors.splitlines()), 1)

    def test_callers_id_matches_all_requests_with_it(self) -> None:
        # A caller sends an order twice with the same id.  A search for the id must show
        # both requests, including the events of the agents.
        for number, index in ((1, 2), (2, 3)):
            system_id = f"entry-1:3:{number}"
            self.daemons[0].recorder.record(
                EventKind.REQUEST_RECEIVED,
                request_id=system_id,
                detail="POST pool quotes " + format_caller_id("order-88"),
            )
            self.daemons[index].recorder.record(
                EventKind.ATTEMPT_RUNNING, request_id=system_id, attempt=1
            )
        run = self.run_tool("timeline", "--request", "order-88", "--json")
        self.assertEqual(run.code, ExitCode.OK)
        self.assertEqual(len(run.json), 4)
        other = self.run_tool("timeline", "--request", "order-8", "--json")
        self.assertEqual(other.json, [])

    def test_timeline_from_logs_queries_no_process(self) -> None:
        recorder = self.daemons[0].recorder
        recorder.record(EventKind.ZONE_OUT, detail="kingston-a")
        (event,) = recorder.after(0).events
        with tempfile.TemporaryDirectory() as folder:
            log, picture = Path(folder) / "a.log", Path(folder) / "a.html"
            line = json.dumps({"message": "x", "event": event_to_json(event)})
            log.write_text(f"not json\n[]\n{line}\n{line[:40]}")
            run = self.run_tool("timeline", "--from-logs", str(log), "--json")
            self.assertEqual(run.json, [event_to_json(event)])
            self.run_tool(
                "timeline", "--from-logs", str(log), "--picture", str(picture)
            )
            self.assertIn("zone.out", picture.read_text())


class DisplayTest(unittest.TestCase):
    def render(self, progress: list[TargetProgress]) -> list[str]:
        file = io.StringIO()
        Console(file=file, width=90).print(render_progress(progress, "drafter"))
        return file.getvalue().splitlines()

    def test_many_targets_are_shown_by_zone(self) -> None:
        progress = [
            TargetProgress(f"agent-{i}", f"zone-{i % 3}", "fetching", i, 100)
            for i in range(90)
        ]
        lines = self.render(progress)
        self.assertEqual(len(lines), 5)
        self.assertIn("0/30 offered", lines[2])
        self.assertTrue(all(len(line) <= 90 for line in lines))

    def test_phase_is_shown_beside_the_bar(self) -> None:
        lines = self.render(
            [TargetProgress("agent-1", "a", "failed", 50, 100, "no memory")]
        )
        self.assertIn("failed no memory", lines[2])
        self.assertIn("50", lines[2])


class UsageTest(unittest.TestCase):
    def run_main(self, *arguments: str) -> tuple[int, str]:
        errors = io.StringIO()
        with (
            mock.patch.dict(os.environ, clear=False),
            contextlib.redirect_stderr(errors),
        ):
            os.environ.pop("REEDSPAR_ENTRY", None)
            try:
                code = main(list(arguments))
            except SystemExit as error:
                code = error.code
        return code, errors.getvalue()

    def test_missing_or_invalid_entry_is_a_usage_error(self) -> None:
        code, errors = self.run_main("targets")
        self.assertEqual(code, ExitCode.USAGE)
        self.assertIn("REEDSPAR_ENTRY", errors)
        self.assertEqual(
            self.run_main("targets", "--entry", "10.0.0.1")[0], ExitCode.USAGE
        )

    def test_unknown_command_is_a_usage_error(self) -> None:
        self.assertEqual(self.run_main("nothing")[0], ExitCode.USAGE)


if __name__ == "__main__":
    unittest.main()
