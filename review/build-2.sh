#!/bin/sh
# Build the stand-ins of the cases 6 and 7. They are Python programs that need
# the standard library alone, so building them is to check that they compile.
set -e
cd "$(dirname "$0")"
exec python3 - second_*.py 6/play.py 7/play.py <<'EOF'
import sys

for name in sys.argv[1:]:
    with open(name, encoding='utf-8') as file:
        compile(file.read(), name, 'exec')
EOF
