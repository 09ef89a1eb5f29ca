"""One job of a client that the system does not control: 4,294,967,295 tasks without any needs."""

import os
import sys

FOLDER = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.join(os.path.dirname(FOLDER), "standin-2"))
from hang import run_hang_case

run_hang_case(FOLDER, [{"count": 4294967295}], [{"count": 4}])
