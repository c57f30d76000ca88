"""Commands quoted in the operator documentation exist with the options shown."""

import pathlib
import re
import shlex

import pytest
import typer

from arbutusflow.cli.main import app
from arbutusflow.gateway.model import Address
from arbutusflow.platform.settings import load_settings

PAGES = sorted((pathlib.Path(__file__).parents[1] / "docs" / "operators").glob("*.md"))
# Indented code lines without a colon, and inline code.
QUOTED = re.compile(r"^    (?:\$ )?arbutusflow ([^:\n]+)$|`arbutusflow ([^`]+)`", re.M)


def commands():
    """Return the page name and the words of each quoted command."""
    return [
        (page.name, tuple(shlex.split((block or inline).replace("\n", " "))))
        for page in PAGES
        for block, inline in QUOTED.findall(page.read_text())
    ]


@pytest.mark.parametrize(("page", "words"), commands())
def test_quoted_commands_and_options_exist(page, words):
    """Guards against documentation of a removed command or option."""
    command = typer.main.get_command(app)
    rest = list(words)
    while rest and hasattr(command, "commands"):
        assert rest[0] in command.commands, f"{page}: {' '.join(words)}"
        command = command.commands[rest.pop(0)]
    options = {name for item in command.params for name in item.opts}
    used = {word for word in rest if word.startswith("--")}
    assert used <= options | {"--help"}, f"{page}: {used - options}"


def test_the_settings_file_of_an_instance_is_valid(tmp_path):
    """Guards against an example that the process rejects."""
    page = next(path for path in PAGES if path.name == "running.md").read_text()
    (example,) = re.findall(r"^```toml\n(.*?)^```", page, re.M | re.S)
    path = tmp_path / "instance-1.toml"
    path.write_text(example)
    cfg = load_settings(path)
    assert (cfg.instance, cfg.caller_address) == (
        "instance-1",
        Address("10.0.1.11", 8080),
    )
