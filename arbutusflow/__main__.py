"""Runs the command line with `python -m arbutusflow`.

A gateway process ignores SIGHUP until it has installed its handler: the platform may
send it while modules are being imported, and the settings are read after that.
"""

import signal
import sys

if sys.argv[1:2] == ["gateway"]:
    signal.signal(signal.SIGHUP, signal.SIG_IGN)

from arbutusflow.cli.main import main  # noqa: E402

main()
