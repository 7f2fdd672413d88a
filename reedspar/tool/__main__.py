"""Run the tool as ``python -m reedspar.tool``."""

import sys

from .main import main

sys.exit(main())
