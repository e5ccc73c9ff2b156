"""Runs a short soak with fixed seeds and with all seeds that have failed before.
Run SystemTests/soak/soak.py directly for longer soaks. The logs of a failed seed are
kept in soak-logs in the folder of the build."""

import os
import signal
import unittest

from harness.process import wait_until
from soak.soak import Soak, read_failed_seeds
from users_platform.nodes import BUILD

SEEDS = (101, 102)
SECONDS = 8
FAULT_COUNT = 6
LOGS = os.path.join(BUILD, "soak-logs")


class SoakTest(unittest.TestCase):
    def test_no_invariant_is_violated_under_faults(self):
        for seed in (*SEEDS, *read_failed_seeds()):
            soak = Soak(seed, SECONDS, FAULT_COUNT)
            folder = os.path.join(LOGS, str(seed))
            violations = None
            try:
                violations = soak.run()
                self.assertEqual(violations, [], f"seed {seed}, logs in {folder}")
            finally:
                if violations != []:
                    soak.keep_logs(folder)
                soak.cluster.stop()

    def test_a_process_that_ends_by_itself_is_reported(self):
        soak = Soak(SEEDS[0], SECONDS, FAULT_COUNT)
        self.addCleanup(soak.cluster.stop)
        soak.cluster.start()
        killed, terminated, lost = (it.process for it in soak.cluster.nodes[:3])
        killed.kill()
        killed.start()
        terminated.terminate()
        self.assertEqual(terminated.wait(10), 0)
        soak.check_processes()
        self.assertEqual(soak.violations(), [])

        os.kill(lost.pid, signal.SIGKILL)
        wait_until(lambda: not lost.is_running(), 10, "the process has ended")
        soak.check_processes()
        soak.check_processes()
        self.assertEqual(len(soak.violations()), 1, soak.violations())
        start = f"ENDED: {lost.name} (pid {lost.pid}): exit code -9, "
        self.assertTrue(soak.violations()[0].startswith(start), soak.violations())


if __name__ == "__main__":
    unittest.main()
