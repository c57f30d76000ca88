"""The reference pages and the documentation are consistent with the code."""

import ast
import copy
import pathlib
import re
import tomllib

import pytest
import typer

from arbutusflow.cli.main import app
from arbutusflow.errors import ConfigurationError
from arbutusflow.gateway import dispatch, process
from arbutusflow.gateway.callers.messages import CallerRequest
from arbutusflow.gateway.load import admission
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
    re.sub(
        r"\{(?:peer|front|ready|store)\}",
        "8080",
        re.sub(r"\{(?:host|store_host)\}", "127.0.0.1", SETTINGS_FILE),
    )
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
    assert len(families) == 6
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


def leaf_commands(command, words=()):
    """Return the words of each command that is no group."""
    if not hasattr(command, "commands"):
        return {words}
    return set().union(
        *(leaf_commands(c, (*words, name)) for name, c in command.commands.items())
    )


def test_documented_commands_and_options_exist():
    """Guards against documentation of a command that no longer exists, and against a
    command that no page names."""
    commands = documented_commands()
    broken, documented = [], set()
    for page, words in commands:
        command, path = typer.main.get_command(app), ()
        while words and words[0] in getattr(command, "commands", {}):
            command, path = command.commands[words[0]], (*path, words[0])
            words = words[1:]
        documented.add(path)
        options = {opt for item in command.params for opt in item.opts}
        quoted_options = {word for word in words if word.startswith("--")} - {"--help"}
        is_group = hasattr(command, "commands")
        if quoted_options - options or (is_group and words and words[0][0].isalpha()):
            broken.append((page, words))
    assert broken == []
    assert leaf_commands(typer.main.get_command(app)) - documented == set()
