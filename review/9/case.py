"""One job of a client that the system does not control: 19,000 small tasks, less than the system's own limit."""

import os
import sys

FOLDER = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.join(os.path.dirname(FOLDER), "standin-2"))
from hang import run_hang_case

run_hang_case(FOLDER, [{"count": 19000, "cpu": 1, "memMb": 1, "estimatedMs": 20}], [{"count": 19, "cpu": 1, "memMb": 1, "estimatedMs": 20}])
