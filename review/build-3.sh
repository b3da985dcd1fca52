#!/bin/sh
# Makes ready what the scripts of the cases 11 to 15 start besides the program of the deploy
# file. Their stand-ins (lib-3/, tests/platform_standin.py) are Python programs that need
# only its standard library, so there is nothing to compile; this checks that they load.
set -eu
cd "$(dirname "$0")/.."
PYTHONDONTWRITEBYTECODE=1 PYTHONPATH=review/lib-3 python3 -c \
  'import deployment, fleet, http_parts, platform_standin'
