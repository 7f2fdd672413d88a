"""Tests of the quarantine of requests that crash targets."""

import unittest

from reedspar.requests.quarantine import Quarantine, Standing


class BlameTest(unittest.TestCase):
    def setUp(self) -> None:
        self.quarantine = Quarantine()

    def assert_blamed(self, *names: str) -> None:
        for name in names:
            self.assertIs(self.quarantine.standing(name, 9.0)[0], Standing.BLAMED)

    def assert_not_blamed(self, *names: str) -> None:
        for name in names:
            self.assertIsNot(self.quarantine.standing(name, 9.0)[0], Standing.BLAMED)

    def test_request_beside_others_at_each_crash_is_blamed_at_the_third(self) -> None:
        # Guards against a request that goes on to crash targets since other requests
        # are in flight at several of its crashes, too.
        for crash, beside in enumerate((("a", "b"), ("a", "c"), ("b", "c"))):
            self.quarantine.on_crash(f"t/{crash}", {"deadly", *beside}, crash, 9.0)
        self.assert_blamed("deadly")
        self.assert_not_blamed("a", "b", "c")


if __name__ == "__main__":
    unittest.main()
