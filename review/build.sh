#!/bin/sh
# Load the stand-ins and the scripts once, after the build of the deploy file; there is nothing to compile.
cd "$(dirname "$0")/.." || exit 1
for script in review/1/case.py review/2/case.py review/3/case.py; do
  PYTHONPATH=target/deps python3 -B -c "import runpy, sys; runpy.run_path(sys.argv[1], run_name='built')" "$script" || exit 1
done
