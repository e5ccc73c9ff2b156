"""A short soak with fixed seeds, and the seeds that ever failed. Longer ones
are run by hand: SystemTests/soak/soak.py."""

import unittest

from soak.soak import Soak, kept_seeds

SEEDS = (101, 102)
SECONDS = 8
TROUBLES = 6


class SoakTest(unittest.TestCase):
    def test_promises_hold(self):
        for seed in (*SEEDS, *kept_seeds()):
            soak = Soak(seed, SECONDS, TROUBLES)
            try:
                self.assertEqual(soak.run(), [], f"seed {seed}")
            finally:
                soak.cluster.stop()


if __name__ == "__main__":
    unittest.main()
