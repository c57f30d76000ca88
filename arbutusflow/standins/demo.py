"""Command that shows the product at work, and fails if it doesn't work.

Usage: `python -m arbutusflow.standins.demo [--seed N] [--seconds S] [--keep]`. This
module is the part that any Python can run: it checks the version and the packages
before it imports the rest.
"""

import argparse
import importlib.util
import pathlib
import sys
from typing import NoReturn

MIN_VERSION = (3, 11)
PACKAGES = ("httptools", "matplotlib", "msgspec", "prometheus_client", "tqdm", "typer")
MIN_SECONDS, MAX_SECONDS = 30.0, 600.0
STATUS_BAD_INPUT, STATUS_INTERRUPTED = 2, 130


class _Parser(argparse.ArgumentParser):
    """Reports an error in one line."""

    def error(self, message: str) -> NoReturn:
        self.exit(STATUS_BAD_INPUT, f"demo: {message}\n")


def missing_need(version: tuple[int, ...], packages: tuple[str, ...]) -> str:
    """Return why the demo cannot run with this Python, or ""."""
    if version < MIN_VERSION:
        needed = ".".join(str(part) for part in MIN_VERSION)
        found = ".".join(str(part) for part in version)
        return f"Python {needed} or later is needed, this is {found}"
    missing = [name for name in packages if importlib.util.find_spec(name) is None]
    if missing:
        return f"these packages are missing: {', '.join(missing)}; run `make demo`"
    return ""


def _seconds(text: str) -> float:
    seconds = float(text)
    if not MIN_SECONDS <= seconds <= MAX_SECONDS:
        raise argparse.ArgumentTypeError(
            f"{text} is not between {MIN_SECONDS:g} and {MAX_SECONDS:g}"
        )
    return seconds


def main() -> int:
    """Run the demo and return the exit status."""
    need = missing_need(sys.version_info[:3], PACKAGES)
    if need:
        sys.stderr.write(f"demo: {need}\n")
        return STATUS_BAD_INPUT
    parser = _Parser(prog="demo", description=__doc__)
    parser.add_argument("--seed", type=int, default=1)
    parser.add_argument(
        "--seconds", type=_seconds, default=60.0, help="length of all parts together"
    )
    parser.add_argument("--keep", action="store_true", help="keep the logs")
    parser.add_argument(
        "--page",
        type=pathlib.Path,
        default=pathlib.Path("arbutusflow-demo.html"),
        help="where to write the page",
    )
    parser.add_argument(
        "--network", default="", help="loopback addresses to use, as 127.X.Y"
    )
    args = parser.parse_args()
    try:
        from arbutusflow.standins.demo_run import DemoOptions, run_demo
    except KeyboardInterrupt:  # Before anything was started.
        sys.stderr.write("demo: interrupted\n")
        return STATUS_INTERRUPTED
    return run_demo(
        DemoOptions(args.seed, args.seconds, args.keep, args.page, args.network)
    )


if __name__ == "__main__":
    sys.exit(main())
