"""Test harness: child processes, fault-injecting proxies, callers and
configuration edits.

The stand-ins for the users' platform implement its protocol. They are in
platform/tests, beside the part of the product that implements the same protocol,
and importing this package puts that folder on the module search path.
"""

import os
import sys

_TESTS = os.path.dirname(os.path.dirname(os.path.abspath(__file__)))
sys.path.append(os.path.join(os.path.dirname(_TESTS), "platform", "tests"))
