"""The reference pages and the documentation are consistent with the code."""

import ast
import copy
import pathlib
import re
import tomllib

import pytest
import typer

from arbutusflow.adapters.documents import parse_document
from arbutusflow.adapters.metrics import METRICS, ReloadableMetrics
from arbutusflow.adapters.settings import Address, EntrySettings, PatchFile
from arbutusflow.cli.main import app
from arbutusflow.domain.reasons import RefusalReason, RetryReason
from arbutusflow.errors import ConfigurationError
from arbutusflow.gateway import admission, dispatch, process
from arbutusflow.gateway.caller_server import CallerRequest
from arbutusflow.gateway.reference import (
    OTHER_OUTCOMES,
    REASONS,
    STATES,
    metrics_page,
)
from arbutusflow.platform import documents, settings
from arbutusflow.platform.reference import (
    CONFIGURATION,
    ENDPOINT,
    SETTINGS,
    settings_page,
)
from tests.gateway.object_platform import SETTINGS as SETTINGS_FILE
from tests.gateway.test_documents import CONFIGURATION as CONFIGURATION_EXAMPLE, ENTRY
from tests.gateway.test_whole_path import run_with_cluster

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


SETTINGS_EXAMPLE = tomllib.loads(
    re.sub(r"\{(?:peer|front|ready|store)\}", "8080", SETTINGS_FILE)
)
DOCUMENTS = [
    (SETTINGS, SETTINGS_EXAMPLE, settings._decode, KeyError),
    (
        CONFIGURATION,
        CONFIGURATION_EXAMPLE,
        documents.decode_configuration,
        ConfigurationError,
    ),
    (ENDPOINT, ENTRY, documents.decode_endpoint, ValueError),
]


def remove(document, path):
    """Remove a field; from all items of a list whose name ends in `[]`."""
    name, _, rest = path.partition(".")
    if not rest:
        document.pop(name, None)
        return
    for item in (
        document.get(name[:-2], ()) if name.endswith("[]") else [document[name]]
    ):
        remove(item, rest)


@pytest.mark.parametrize(
    ("field", "example", "decode", "error"),
    [
        pytest.param(field, example, decode, error, id=field.path)
        for fields, example, decode, error in DOCUMENTS
        for field in fields
    ],
)
def test_required_fields_are_required(field, example, decode, error):
    """Guards against a page that calls a field required or optional by mistake."""
    document = copy.deepcopy(example)
    remove(document, field.path)
    if field.default.startswith("required"):
        with pytest.raises(error):
            decode(document)
    else:
        decode(document)


@pytest.mark.parametrize(
    ("module", "fields"), [(settings, SETTINGS), (documents, CONFIGURATION + ENDPOINT)]
)
def test_every_field_that_is_read_is_described(module, fields):
    """Guards against a field that a decoder reads and the page does not name."""
    source = pathlib.Path(module.__file__).read_text()
    read = set(re.findall(r'(?:\[|\.get\()"(\w+)"|"(\w+)" in ', source))
    named = {name.removesuffix("[]") for f in fields for name in f.path.split(".")}
    assert {a or b for a, b in read} == named


def outcomes_in(module):
    """Return the outcomes and reasons that the source of a module names."""
    found = set()
    for node in ast.walk(ast.parse(pathlib.Path(module.__file__).read_text())):
        if isinstance(node, ast.Call):
            called = getattr(node.func, "attr", getattr(node.func, "id", ""))
            if called in (
                "RequestError",
                "_final_error",
                "_fail_unless_idempotent",
                "_count_outcome",
            ):
                found.update(strings_in(node.args))
        elif isinstance(node, ast.Assign) and ast.unparse(node.targets) == "reason":
            found.update(strings_in([node.value]))
        elif isinstance(node, ast.FunctionDef) and node.name == "check":
            returns = [n.value for n in ast.walk(node) if isinstance(n, ast.Return)]
            found.update(strings_in(returns))
    return found


def strings_in(nodes):
    parts = [
        part
        for node in nodes
        if node is not None
        for part in (
            [node.body, node.orelse] if isinstance(node, ast.IfExp) else [node]
        )
    ]
    return {
        part.value
        for part in parts
        if isinstance(part, ast.Constant) and isinstance(part.value, str)
    }


def test_every_outcome_is_listed():
    """Guards against a reason that the page does not explain, or that is gone."""
    found = set().union(*map(outcomes_in, (admission, dispatch, process)))
    assert found == REASONS.keys() | OTHER_OUTCOMES.keys()


def test_every_value_of_the_process_is_listed(tmp_path):
    """Guards against a metric that the page does not explain, or that is gone."""

    async def scenario(cluster):
        req = CallerRequest(b"GET", b"/metrics", [], b"", 0.0)
        return (await cluster.gateways["n1"]._metrics(req)).body.decode()

    text = run_with_cluster(scenario, tmp_path)
    names = re.findall(r'^arbutusflow_state\{name="(\w+)"\}', text, re.M)
    assert set(names) == STATES.keys()
    page = metrics_page()
    families = re.findall(r"^# TYPE (\w+) (?:counter|gauge|histogram)$", text, re.M)
    families = [name for name in families if not name.endswith("_created")]
    assert len(families) == 4
    assert [name for name in families if f"| {name} |" not in page] == []


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
