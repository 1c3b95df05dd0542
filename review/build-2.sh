#!/bin/sh
# Checks that the stand-ins of cases 6 to 9 compile. They need nothing but Python 3.11.
set -eu
cd "$(dirname "$0")"
for file in standins-2/*.py [6-9]/run.py; do
    python3 -c 'import sys; compile(open(sys.argv[1]).read(), sys.argv[1], "exec")' "$file"
done
python3 -c 'import sys; sys.exit(sys.version_info < (3, 11))'
