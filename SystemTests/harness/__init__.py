"""Parts of the system tests' harness: processes, relays, callers, items.

Stand-ins of the users' platform speak its words, so they stand beside the
product's own part that does: platform/tests.
"""

import os
import sys

_TESTS = os.path.dirname(os.path.dirname(os.path.abspath(__file__)))
sys.path.append(os.path.join(os.path.dirname(_TESTS), "platform", "tests"))
