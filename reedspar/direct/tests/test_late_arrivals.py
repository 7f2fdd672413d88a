"""Tests of retries that arrive late, against the bound on what arrives in a window."""

import unittest

from reedspar.direct.tests.standing_targets import StandstillLoad


class LateArrivalsTest(unittest.TestCase):
    def assert_bound_kept(self, *loads: StandstillLoad) -> None:
        uses = [(round(load.run().largest_use(), 2), str(load)) for load in loads]
        self.assertEqual([], [(use, load) for use, load in uses if use > 1.0])

    def test_retries_to_targets_that_stand_still_keep_the_bound(self) -> None:
        # Guards against retries that count when they are chosen, while the targets read
        # them together with those of a later window.
        self.assert_bound_kept(
            *(
                StandstillLoad(still_s=still_s, calm_s=calm_s, burst=burst)
                for still_s, calm_s in ((5.0, 8.0), (6.0, 8.3), (9.0, 6.0), (14.0, 2.0))
                for burst in (160, 320)
            )
        )

    def test_retries_of_entries_that_were_killed_meanwhile_keep_the_bound(self) -> None:
        # Guards against the retries of processes that have ended, which targets read
        # when those that follow have retries of their own.
        self.assert_bound_kept(
            *(
                StandstillLoad(
                    entries=entries, still_s=14.0, calm_s=1.0, restarts_s=restarts_s
                )
                for entries in (9, 46)
                for restarts_s in ((2.5,), (2.0, 3.0))
            )
        )


if __name__ == "__main__":
    unittest.main()
