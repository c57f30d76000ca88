"""Command line: output, exit status and error messages."""

import subprocess
import sys

import pytest
from typer.testing import CliRunner

from arbutusflow import __version__
from arbutusflow.cli.main import app
from arbutusflow.platform.settings import SETTINGS_VARIABLE


def run(*args, env=None):
    return CliRunner().invoke(app, [str(arg) for arg in args], env=env)


def test_version():
    result = run("version")
    assert (result.exit_code, result.output) == (0, f"{__version__}\n")


@pytest.mark.parametrize("command", [("--help",), ("version",)])
def test_simple_commands_import_no_slow_module(command):
    """Guards against simple commands that start as slowly as a server."""
    slow_modules = "{'msgspec', 'httptools', 'prometheus_client', 'asyncio', 'http'}"
    code = (
        "import sys\nfrom arbutusflow.cli.main import main\n"
        f"sys.argv = ['arbutusflow', {command[0]!r}]\n"
        "try:\n    main()\nexcept SystemExit:\n    pass\n"
        f"print(sorted({slow_modules} & set(sys.modules)))"
    )
    done = subprocess.run([sys.executable, "-c", code], capture_output=True, text=True)
    assert done.stdout.splitlines()[-1] == "[]", done.stderr


@pytest.mark.parametrize(
    "args",
    [
        ("instances",),
        ("evacuations",),
        ("instances", "nowhere"),
        ("explain", "trail"),
        ("explain",),
        ("gateway",),
        ("reference", "absent"),
        ("config",),
        ("config", "check"),
        ("x",),
    ],
)
def test_usage_errors_have_exit_status_2(args):
    """Guards against a traceback, or success, after a mistyped command."""
    result = run(*args, env={SETTINGS_VARIABLE: None})
    assert result.exit_code == 2
    assert "Traceback" not in result.stderr


def test_the_help_lists_the_commands_of_the_product():
    """Guards against a command that is left out, or one that nothing answers."""
    lines = run("--help").output.partition("Commands:")[2].splitlines()
    names = [line.split()[0] for line in lines if line.startswith("  ")]
    assert names[:7] == [
        "gateway",
        "instances",
        "evacuations",
        "version",
        "explain",
        "reference",
        "config",
    ]


def test_an_unreadable_log_has_exit_status_1(tmp_path):
    """Guards against a traceback for a mistyped name of a log."""
    result = run("explain", "trail", "a1", tmp_path / "absent.log")
    assert result.exit_code == 1
    assert result.stderr.startswith("arbutusflow: cannot read ")
    assert len(result.stderr.splitlines()) == 1
