"""Reload of the settings of a running instance, and what its log tells of requests."""

import asyncio

import pytest

from tests.gateway.fakes import FakeLog
from tests.gateway.test_whole_path import run_with_cluster


def settings_file(cluster):
    return cluster.directory / "n1.toml"


def test_changed_bounds_take_effect_without_a_restart(tmp_path):
    """Guards against a reload that is accepted and has no effect."""

    async def scenario(cluster):
        gateway, path = cluster.gateways["n1"], settings_file(cluster)
        gateway.log = FakeLog()
        path.write_text(
            path.read_text()
            .replace("retryBudgetSlack = 60", "retryBudgetSlack = 0")
            .replace("retryBudgetRatio = 0.2", "retryBudgetRatio = 0")
            .replace("graceS = 6", "graceS = 8")
        )
        allowed_before = gateway.retry_budget.allows("a", 1, 0.0)
        gateway._reload()
        allowed_after = gateway.retry_budget.allows("a", 1, 0.0)
        gateway._stop()
        return allowed_before, allowed_after, gateway.state(), gateway.log.events

    before, after, state, events = run_with_cluster(scenario, tmp_path)
    assert (before, after) == (True, False)
    assert ("settings_reloaded", {}) in events
    assert 7.0 < state.ends_in_seconds <= 8.0


def test_a_setting_that_needs_a_restart_is_named(tmp_path):
    """Guards against another address of the store that nothing tells is not called."""

    async def scenario(cluster):
        gateway, path = cluster.gateways["n1"], settings_file(cluster)
        gateway.log = FakeLog()
        store = gateway._cfg.store_address
        text = path.read_text()
        moved = text.replace(f":{store.port}", f":{store.port % 60000 + 1}")
        for changed in (text.replace("graceS = 6", "graceS = 8"), moved, moved + "\n"):
            path.write_text(changed)
            gateway._reload()
        return [f["fields"] for event, f in gateway.log.events if "need" in event]

    # The cluster is started without metrics, which its file has.
    expected = [["metrics_port"], *[["metrics_port", "store_address"]] * 2]
    assert run_with_cluster(scenario, tmp_path) == expected


@pytest.mark.parametrize("text", ["", "nodeName = [", "nodeName = 'n1'\n", "\xff"])
def test_a_file_with_an_error_changes_nothing(tmp_path, text):
    """Guards against a typing error in the file that ends or changes an instance."""

    async def scenario(cluster):
        gateway, path = cluster.gateways["n1"], settings_file(cluster)
        gateway.log = FakeLog()
        cfg = gateway._cfg
        path.write_bytes(text.encode("latin-1"))
        gateway._reload()
        gateway._reload()  # The same error is not logged again.
        response = await cluster.send_request("n1", b"/y/1")
        return gateway._cfg is cfg, gateway.log.events, response.status

    unchanged, events, status = run_with_cluster(scenario, tmp_path)
    assert unchanged
    assert status == 200
    (rejected,) = (fields for event, fields in events if event == "settings_rejected")
    assert str(tmp_path / "n1.toml") in rejected["detail"]


def test_the_log_tells_no_content_of_a_request(tmp_path):
    """Guards against bodies, headers and queries of callers in the log."""

    async def scenario(cluster):
        gateway = cluster.gateways["n1"]
        gateway.log = gateway.dispatcher._log = FakeLog()
        for endpoint in cluster.endpoints:
            endpoint.wait_until = 1e18
        send = cluster.send_request
        path = b"/y/1?token=classified"
        refused = [await send("n1", path, b"POST", body=b"classified") for _ in "ab"]
        return [item.status for item in refused], gateway.log.events

    statuses, events = run_with_cluster(scenario, tmp_path)
    assert statuses == [503, 503]
    names = [event for event, _ in events]
    assert "attempt_failed" in names and "request_refused" in names
    assert "classified" not in repr(events)


def test_a_request_in_the_log_has_its_identifier(tmp_path):
    """Guards against lines of several instances that nothing connects."""

    async def scenario(cluster):
        gateway = cluster.gateways["n1"]
        gateway.dispatcher._log = FakeLog()
        for endpoint in cluster.endpoints:
            endpoint.wait_until = 1e18
        await cluster.send_request("n1", b"/y/1", b"POST")
        await asyncio.sleep(0)
        return gateway.dispatcher._log.events

    events = run_with_cluster(scenario, tmp_path)
    lines = [f for e, f in events if e in ("attempt_failed", "request_refused")]
    assert len(lines) >= 2
    assert len({fields["request_id"] for fields in lines}) == 1
    assert lines[0]["request_id"].startswith("r")
