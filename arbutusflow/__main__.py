"""Runs the command line with `python -m arbutusflow`."""

from arbutusflow.cli.main import main

main()
