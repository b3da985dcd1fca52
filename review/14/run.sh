#!/bin/sh
# Shows that a route with slow work on a service shuts out the quick routes of that service.
PYTHONDONTWRITEBYTECODE=1 exec python3 "$(dirname "$0")/case.py"
