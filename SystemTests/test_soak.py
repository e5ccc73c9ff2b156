"""Runs a short soak with fixed seeds and with all seeds that have failed before.
Run SystemTests/soak/soak.py directly for longer soaks."""

import unittest

from soak.soak import Soak, read_failed_seeds

SEEDS = (101, 102)
SECONDS = 8
FAULT_COUNT = 6


class SoakTest(unittest.TestCase):
    def test_no_invariant_is_violated_under_faults(self):
        for seed in (*SEEDS, *read_failed_seeds()):
            soak = Soak(seed, SECONDS, FAULT_COUNT)
            try:
                self.assertEqual(soak.run(), [], f"seed {seed}")
            finally:
                soak.cluster.stop()


if __name__ == "__main__":
    unittest.main()
