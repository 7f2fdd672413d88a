"""Tests of reading and changing the configuration."""

import tempfile
from pathlib import Path

from reedspar.tool.exit_codes import ExitCode

from .fake_fleet import ENTRY, FleetTest, FrozenTransport, LostResponseTransport

OUT = "zones.kingston-a=out"


class PatchCommandTest(FleetTest):
    def test_differences_are_shown_and_the_patch_is_accepted(self) -> None:
        run = self.run_tool("config", "patch", "--base", "4", "--set", OUT)
        self.assertEqual(run.code, ExitCode.OK)
        lines = run.output.splitlines()
        self.assertEqual(lines[0], '+ zones.kingston-a: "out"')
        self.assertEqual(lines[1], "accepted as version 5")

    def test_stale_patch_is_refused_with_the_newer_changes(self) -> None:
        # Two operators base patches on the same version.  The second must be told that
        # another patch was accepted first, what it changed, and that their own change
        # was not made.
        self.run_tool("config", "patch", "--base", "4", "--set", OUT)
        late = self.run_tool(
            "config", "patch", "--base", "4", "--set", "zones.kingston-b=out"
        )
        self.assertEqual(late.code, ExitCode.STALE)
        self.assertIn("the current version is 5", late.errors)
        self.assertIn('+ zones.kingston-a: "out"', late.errors)
        document = self.configuration.read_document()
        self.assertTrue(document.is_zone_in("kingston-b"))

    def test_patch_is_retried_with_the_same_id_after_a_lost_response(self) -> None:
        # The connection breaks after the daemon accepted the patch.  If the tool only
        # reported an unknown outcome, the operator would retry by hand, get a stale
        # version, and not know whose change it was.
        inner = self.transports[ENTRY]
        self.transports[ENTRY] = LostResponseTransport(inner, lost=2)
        run = self.run_tool("config", "patch", "--base", "4", "--set", OUT)
        self.assertEqual(run.code, ExitCode.OK)
        self.assertIn("accepted as version 5", run.output)
        self.assertEqual(len({c.patch_id for c in self.configuration.calls}), 1)
        self.assertEqual(len(self.configuration.documents), 2)

    def test_unknown_outcome_is_reported_after_failed_retries(self) -> None:
        # The key-value service applies the write, loses the response and fails.  The
        # patch must not be reported as not applied.
        self.configuration.lost_answers = 1
        inner = self.configuration.apply_patch

        async def fail_afterwards(request):
            result = await inner(request)
            self.configuration.is_down = True
            return result

        self.configuration.apply_patch = fail_afterwards
        run = self.run_tool("config", "patch", "--base", "4", "--set", OUT)
        self.assertEqual(run.code, ExitCode.OUTCOME_UNKNOWN)
        patch_id = self.configuration.calls[0].patch_id
        self.assertIn(f"--patch-id {patch_id}", run.errors)

    def test_each_refusal_has_its_exit_code(self) -> None:
        invalid = self.run_tool("config", "patch", "--base", "4", "--set", "zones.a=x")
        self.assertEqual(invalid.code, ExitCode.REFUSED)
        self.assertIn("zones.a: Input should be 'in' or 'out'", invalid.errors)
        self.configuration.is_down = True
        down = self.run_tool("config", "patch", "--base", "4", "--set", OUT)
        self.assertEqual(down.code, ExitCode.UNREACHABLE)
        self.assertIn("key_value failed at 10.0.0.9:2379", down.errors)
        empty = self.run_tool("config", "patch", "--base", "4")
        self.assertEqual(empty.code, ExitCode.USAGE)

    def test_next_entry_is_tried_when_one_is_unreachable(self) -> None:
        self.make_unreachable(ENTRY)
        both = f"{ENTRY},http://127.0.0.1:8002"
        run = self.run_tool("config", "patch", "--base", "4", "--set", OUT, entry=both)
        self.assertEqual(run.code, ExitCode.OK)
        alone = self.run_tool("config", "show")
        self.assertEqual(alone.code, ExitCode.UNREACHABLE)
        self.assertIn(f"link failed at {ENTRY}", alone.errors)

    def test_file_and_assignments_are_combined(self) -> None:
        with tempfile.TemporaryDirectory() as folder:
            file = Path(folder) / "patch.toml"
            file.write_text('[workspaces."shop.1"]\nshare = 2.0\n')
            arguments = ["--file", str(file), "--set", 'workspaces."shop.1".priority=3']
            dry = self.run_tool(
                "config", "patch", "--base", "4", *arguments, "--dry-run"
            )
            self.assertEqual(len(self.configuration.documents), 1)
            run = self.run_tool("config", "patch", "--base", "4", *arguments)
        self.assertIn(
            '+ workspaces."shop.1": {"priority": 3, "share": 2.0}', dry.output
        )
        self.assertEqual(run.code, ExitCode.OK)
        workspace = self.configuration.read_document().workspaces["shop.1"]
        self.assertEqual((workspace.share, workspace.priority), (2.0, 3))

    def test_malformed_assignments_are_reported(self) -> None:
        for text in ("zones", "=out", "zones..a=1", "zones.=1", 'zones."a=1', 'a"b"=1'):
            run = self.run_tool("config", "patch", "--base", "4", "--set", text)
            self.assertEqual(run.code, ExitCode.USAGE, text)
            self.assertIn(text, run.errors)


class ReadingTest(FleetTest):
    def test_first_patch_is_based_on_the_empty_document(self) -> None:
        run = self.run_tool("config", "patch", "--base", "0", "--set", OUT, "--dry-run")
        self.assertEqual(run.output, '+ zones.kingston-a: "out"\n')

    def test_history_diff_and_earlier_versions_are_shown(self) -> None:
        self.run_tool(
            "config", "patch", "--base", "4", "--set", OUT, "--summary", "cooling"
        )
        history = self.run_tool("config", "history")
        header, row = history.output.splitlines()
        self.assertTrue(row.rstrip().endswith("cooling"))
        self.assertEqual(header.index("SUMMARY"), row.index("cooling"))
        diff = self.run_tool("config", "diff", "4", "--json").json
        self.assertEqual(
            diff["changes"], [{"path": "zones.kingston-a", "after": "out"}]
        )
        shown = self.run_tool("config", "show", "--version", "4", "--json")
        self.assertEqual(shown.json["zones"], {})
        missing = self.run_tool("config", "show", "--version", "2")
        self.assertEqual(missing.code, ExitCode.NOT_FOUND)

    def test_confirmed_distinguishes_behind_from_unreachable(self) -> None:
        # One agent is unreachable and another lags.  The operator must be able to tell
        # them apart, since only the lagging one will catch up by itself.
        self.daemons[2].config_version = 3
        self.make_unreachable("http://127.0.0.1:8004")
        run = self.run_tool("config", "confirmed", "4")
        self.assertEqual(run.code, ExitCode.INCOMPLETE)
        _, first, second, *_, last = run.output.splitlines()
        self.assertEqual(
            first.split(), ["agent-1", "agent", "kingston-a", "3", "behind"]
        )
        self.assertIn("unreachable", second)
        self.assertIn("2 confirmed, 1 behind, 1 unreachable, of 4", last)
        self.daemons[2].config_version = None
        whole = self.run_tool("config", "confirmed", "3", "--json")
        states = {p["name"]: p["state"] for p in whole.json["processes"]}
        self.assertEqual(states["agent-1"], "confirmed")
        self.assertEqual(states["agent-2"], "unreachable")


class ZoneCommandTest(FleetTest):
    def test_zone_is_taken_out_and_brought_in_until_confirmed(self) -> None:
        out = self.run_tool("zone", "out", "kingston-a")
        self.assertEqual(out.code, ExitCode.OK)
        self.assertIn("pool quotes: 1 of 2 targets left", out.output)
        self.assertIn("in force in all 4 processes", out.output)
        again = self.run_tool("zone", "out", "kingston-a")
        self.assertIn("out already, version 5", again.output)
        self.run_tool("zone", "in", "kingston-a")
        self.assertEqual(self.configuration.read_document().version, 6)

    def test_mistakes_are_refused_unless_forced(self) -> None:
        # A mistyped zone name would change nothing, while the operator believes that
        # the zone is out.
        typo = self.run_tool("zone", "out", "kingstno-a")
        self.assertEqual(typo.code, ExitCode.REFUSED)
        self.assertIn("known: kingston-a, kingston-b", typo.errors)
        self.run_tool("zone", "out", "kingston-a")
        last = self.run_tool("zone", "out", "kingston-b")
        self.assertEqual(last.code, ExitCode.REFUSED)
        self.assertIn("no target would be left in: quotes", last.errors)
        forced = self.run_tool("zone", "out", "kingston-b", "--force")
        self.assertEqual(forced.code, ExitCode.OK)
        repeated = self.run_tool("zone", "out", "kingston-b", "--base", "6")
        self.assertIn("out already, version 6", repeated.output)

    def test_pool_without_live_targets_needs_no_force(self) -> None:
        # The last targets of a pool are already shutting down when a zone is taken out.
        # The pool loses no live target, so --force must not be needed.
        leaving = (
            self.daemons[3]
            .to_member_status()
            .model_copy(
                update={"name": "agent-3", "state": "leaving", "pool": "portal"}
            )
        )
        for daemon in self.daemons:
            daemon.members = (*daemon.members, leaving)
        run = self.run_tool("zone", "out", "kingston-a", "--wait", "0")
        self.assertEqual(run.code, ExitCode.OK)

    def test_conflicts_are_retried_unless_a_base_is_given(self) -> None:
        strict = self.run_tool("zone", "out", "kingston-a", "--base", "3")
        self.assertEqual(strict.code, ExitCode.STALE)
        inner = self.configuration.apply_patch
        earlier_requests = []

        async def accept_another_patch_first(request):
            if not earlier_requests:
                earlier_requests.append(request)
                other = request.model_copy(
                    update={"patch_id": "other-0001", "patch": {"zones": {"z": "out"}}}
                )
                await inner(other)
            return await inner(request)

        self.configuration.apply_patch = accept_another_patch_first
        run = self.run_tool("zone", "out", "kingston-a")
        self.assertEqual(run.code, ExitCode.OK)
        self.assertIn("accepted as version 6", run.output)

    def test_wait_names_processes_without_the_version(self) -> None:
        # One agent is frozen and another lags.  The frozen one must not prevent the
        # tool from seeing the confirmations of the others.
        self.daemons[3].config_version = 4
        self.transports["http://127.0.0.1:8003"] = FrozenTransport()
        run = self.run_tool("zone", "out", "kingston-a", "--wait", "1")
        self.assertEqual(run.code, ExitCode.INCOMPLETE)
        self.assertIn("confirmed by 2 of 4", run.errors)
        self.assertIn("agent-1 (unreachable), agent-2 (behind)", run.errors)
