"""Run the capacity measurements alone."""

import sys

from .command import main

sys.exit(main(sys.argv[1:]))
