#!/bin/sh
# Checks the stand-ins that the scripts start. They are Python of the standard
# library, so there is nothing to compile or to install.
set -eu
cd "$(dirname "$0")/.."
PYTHONDONTWRITEBYTECODE=1 python3 -P -c '
import sys
sys.path.insert(0, "review")
import common
'
