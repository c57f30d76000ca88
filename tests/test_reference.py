"""The reference pages and the documentation are consistent with the code."""

import pathlib
import re

import pytest
import typer

from arbutusflow.adapters.documents import parse_document
from arbutusflow.adapters.metrics import METRICS, ReloadableMetrics
from arbutusflow.adapters.reference import metrics_page, settings_page
from arbutusflow.adapters.settings import Address, EntrySettings, PatchFile
from arbutusflow.cli.main import app
from arbutusflow.domain.reasons import RefusalReason, RetryReason

ROOT = pathlib.Path(__file__).parent.parent
REFERENCE = ROOT / "docs" / "reference"


@pytest.mark.parametrize(
    ("name", "page"), [("settings", settings_page), ("metrics", metrics_page)]
)
def test_page_is_current(name, page):
    """Guards against a page that describes an older version.

    `arbutusflow reference settings` and `arbutusflow reference metrics` regenerate the
    pages.
    """
    assert (REFERENCE / f"{name}.md").read_text() == page()


def test_every_field_is_described():
    rows = re.findall(r"^\| (`[^`]+`) \|.*\| (.*) \|$", settings_page(), re.MULTILINE)
    assert len(rows) > 50
    assert [name for name, description in rows if not description.endswith(".")] == []


def test_links_between_pages_have_existing_targets():
    """Guards against links to a page that was moved or does not exist."""
    broken = [
        (page.name, target)
        for page in (ROOT / "README.md", *ROOT.glob("docs/**/*.md"))
        for target in re.findall(r"\]\(([^)#:]+)(?:#[^)]*)?\)", page.read_text())
        if not (page.parent / target).exists()
    ]
    assert broken == []


@pytest.mark.parametrize(
    ("name", "kind"), [("running", EntrySettings), ("configuring", PatchFile)]
)
def test_example_files_in_the_pages_are_accepted(name, kind):
    """Guards against documented examples that are rejected."""
    text = (ROOT / "docs" / "operators" / f"{name}.md").read_text()
    (example,) = re.findall(r"```yaml\n(.*?)```", text, re.DOTALL)
    parse_document(example, kind, name)


def documented_commands():
    """Return the page name and words of each command, inline or in a code block."""
    commands = []
    for page in (ROOT / "README.md", *ROOT.glob("docs/**/*.md")):
        lines = re.findall(
            r"^ {4}(?:\$ )?arbutusflow ([a-z].*)$|`arbutusflow ([a-z][^`]*)`",
            page.read_text(),
            re.MULTILINE,
        )
        commands += [(page.name, (a or b).split()) for a, b in lines]
    return commands


def test_documented_commands_and_options_exist():
    """Guards against documentation of a command that no longer exists."""
    commands = documented_commands()
    assert len(commands) > 20
    broken = []
    for page, words in commands:
        command = typer.main.get_command(app)
        while words and words[0] in getattr(command, "commands", {}):
            command = command.commands[words[0]]
            words = words[1:]
        options = {opt for item in command.params for opt in item.opts}
        quoted_options = {word for word in words if word.startswith("--")} - {"--help"}
        is_group = hasattr(command, "commands")
        if quoted_options - options or (is_group and words and words[0][0].isalpha()):
            broken.append((page, words))
    assert broken == []


class FakeSocket:
    """Fake of the datagram socket of the `statsd` client."""

    def __init__(self):
        self.datagrams = []

    def sendto(self, data, address):
        self.datagrams.append(data)

    def close(self):
        pass


@pytest.fixture
def statsd_metrics():
    metrics = ReloadableMetrics("entry-1")
    metrics.set_address(Address("127.0.0.1", 8125))
    sent = FakeSocket()
    metrics._target._client._sock.close()
    metrics._target._client._sock = sent
    return metrics, sent


def report_everything(metrics):
    for reason in RefusalReason:
        metrics.refused(reason)
    for reason in RetryReason:
        metrics.retried(reason)
    metrics.finished("registry", "urgent", "answered", 1.5)
    for gauge in ("units_owned.registry", "configuration_number"):
        metrics.gauge(gauge, 3)


def test_every_sent_metric_is_listed(statsd_metrics):
    metrics, sent = statsd_metrics
    report_everything(metrics)
    metrics.flush()
    patterns = [re.sub(r"<\w+>", r"[a-z_-]+", item.name) for item in METRICS]
    lines = b"\n".join(sent.datagrams).decode().splitlines()
    names = [line.partition(":")[0] for line in lines]
    assert all(name.startswith("arbutusflow.entry-1.") for name in names)
    short = [name.removeprefix("arbutusflow.entry-1.") for name in names]
    assert f"refusals.{RefusalReason.QUEUE_FULL.value}" in short
    assert len(short) == len(RefusalReason) + len(RetryReason) + 4
    unlisted = [
        name for name in short if not any(re.fullmatch(p, name) for p in patterns)
    ]
    assert unlisted == []


def test_flush_is_bounded_and_sends_small_datagrams(statsd_metrics):
    """Guards against memory and network use that grow without limit under overload."""
    metrics, sent = statsd_metrics
    for _ in range(10_000):
        metrics.finished("registry", "urgent", "answered", 1.5)
    metrics.flush()
    lines = b"\n".join(sent.datagrams).decode().splitlines()
    assert sum("latency" in line for line in lines) == 2_000
    assert "arbutusflow.entry-1.requests.answered:10000|c" in lines
    assert "arbutusflow.entry-1.timings_dropped:8000|c" in lines
    assert max(map(len, sent.datagrams)) <= 512
    sent.datagrams.clear()
    metrics.flush()
    assert sent.datagrams == []


def test_without_an_address_nothing_is_sent(statsd_metrics):
    metrics, sent = statsd_metrics
    metrics.set_address(None)
    report_everything(metrics)
    metrics.flush()
    assert sent.datagrams == []
