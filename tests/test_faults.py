"""Tests of the fault matrix: the tests it names, its counts, its completeness."""

import re
import unittest
from pathlib import Path

PAGE = Path(__file__).resolve().parent.parent / "docs" / "FAULTS.md"
STEP_COUNT = 13
ROW = re.compile(r"^\| ([a-z ]+) \| (.+) \|$", re.MULTILINE)
TEST_ID = re.compile(r"`([\w.]+)`")
COUNT = re.compile(r"^- (covered by a test|cannot happen|not covered): (\d+)$", re.M)


def classify(cell: str) -> str:
    """Return the name of the count that includes the cell."""
    if cell == "not covered":
        return cell
    if cell.startswith("cannot happen, because "):
        return "cannot happen"
    return "covered by a test"


class FaultMatrixTest(unittest.TestCase):
    def setUp(self) -> None:
        self.text = PAGE.read_text()
        self.sections = self.text.split("\n## ")[1:]
        self.cells = [
            cell for step, cell in ROW.findall(self.text) if step not in ("step",)
        ]

    def test_every_fault_has_a_cell_for_every_step(self) -> None:
        for section in self.sections:
            steps = [step for step, _ in ROW.findall(section) if step != "step"]
            self.assertEqual(len(set(steps)), STEP_COUNT, section.splitlines()[0])

    def test_counts_match_the_cells(self) -> None:
        counts = {name: int(count) for name, count in COUNT.findall(self.text)}
        self.assertEqual(len(counts), 3)
        for name, count in counts.items():
            actual = sum(1 for cell in self.cells if classify(cell) == name)
            self.assertEqual(count, actual, name)

    def test_every_named_test_exists(self) -> None:
        # Guards against cells that name a renamed or deleted test and so claim
        # coverage that no longer exists.
        loader = unittest.TestLoader()
        for cell in self.cells:
            if classify(cell) != "covered by a test":
                continue
            names = TEST_ID.findall(cell)
            self.assertTrue(names, cell)
            for name in names:
                errors_before = len(loader.errors)
                suite = loader.loadTestsFromName(name)
                self.assertEqual(len(loader.errors), errors_before, name)
                self.assertEqual(suite.countTestCases(), 1, name)


if __name__ == "__main__":
    unittest.main()
