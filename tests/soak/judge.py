"""Judges what callers and endpoints of an ordinary run saw, rule by rule.

Requests are judged once, `JUDGE_AFTER_SECONDS` after their end; rules about many
requests are judged at the end of the run. `judged` counts the requests that each rule
could be judged on, so that a rule that nothing triggers is seen.
"""

import bisect
import collections
import dataclasses
import time

from tests.soak.audit import Audit
from tests.soak.config_audit import (
    DISTURBED_FACTOR,
    ROLLBACK_SLACK_SECONDS,
    HandledCall,
    is_late,
    outcomes,
    regresses,
)
from tests.soak.configurations import ConfigurationHistory
from tests.soak.connection_audit import (
    MAX_CUT_REQUESTS,
    cut_by_configurations,
    is_closed_under,
    is_cut_by_reload,
)
from tests.soak.disturbances import Disturbances
from tests.soak.gone_audit import GONE_SECONDS, judge_leaving
from tests.soak.lost_audit import EARLY_SECONDS, WINDOW_SECONDS, is_lost
from tests.soak.records import PlayedCall, RequestRecord
from tests.soak.recover_audit import FinalKill, judge_recovery
from tests.soak.route_audit import strange_services

JUDGE_AFTER_SECONDS = 2.0  # After the end of a request; a run of it may come late.


class Judge:
    """The rules that are judged on whole requests."""

    def __init__(
        self, audit: Audit, history: ConfigurationHistory, disturbances: Disturbances
    ) -> None:
        self._audit = audit
        self._history = history
        self._disturbances = disturbances
        # When each instance was started, got SIGTERM and got SIGHUP.
        self.starts: dict[str, list[float]] = collections.defaultdict(list)
        self.stops: dict[str, list[float]] = collections.defaultdict(list)
        self.reloads: dict[str, list[float]] = collections.defaultdict(list)
        self.final_kill: FinalKill | None = None
        self.judged: collections.Counter[str] = collections.Counter()
        self._count = 0  # Of judged requests, which are the first ones that ended.
        self._cut: list[PlayedCall] = []
        # Requests that nothing unplanned disturbed, outside stops.
        self._calm: list[tuple[PlayedCall, RequestRecord]] = []

    def judge_ended(self, calls: list[PlayedCall], *, final: bool = False) -> None:
        """Judge the requests that have ended since the last call of this function."""
        until = time.monotonic() - (0.0 if final else JUDGE_AFTER_SECONDS)
        while self._count < len(calls):
            call = calls[self._count]
            if call.ended_at is None or call.ended_at > until:
                break
            self._count += 1
            self._judge_call(call, self._audit.seen[call.request_id])
        self._audit.check_refusals()

    def judge_run(self, calls: list[PlayedCall]) -> None:
        """Judge what shows only over the whole run."""
        self.judge_ended(calls, final=True)
        self._judge_configurations()
        self._judge_regress(calls)
        self._judge_leaving(calls)
        self._judge_recovery(calls)

    def _in_touch(self, call: PlayedCall) -> bool:
        ended = call.began_at if call.ended_at is None else call.ended_at
        return self._disturbances.in_touch(call.instance, call.began_at, ended)

    def _report(self, rule: str, text: str, *calls: PlayedCall) -> None:
        self._audit.record_violation(
            text,
            rule,
            tuple(call.request_id for call in calls),
            instance=calls[0].instance,
        )

    def _judge_call(self, call: PlayedCall, record: RequestRecord) -> None:
        for service in strange_services(self._history, call, record):
            path = call.path.decode()
            text = f"{call.describe()} on {path} ran at service {service}, no route"
            self._report("ROUTE", text, call)
        self.judged["ROUTE"] += bool(record.runs)
        if self._in_touch(call):
            handled = outcomes(call, record)
            self.judged["CONFIG"] += bool(handled)
            for outcome in handled:
                if is_late(self._history, call.began_at, outcome):
                    how = f"run by {outcome.service}" if outcome.service else "404"
                    text = f"{call.describe()} on {call.path.decode()}: {how}, as only"
                    self._report("CONFIG", f"{text} an older version allows", call)
        if call.left_at is None:
            self._judge_connection(call, record)

    def _judge_connection(self, call: PlayedCall, record: RequestRecord) -> None:
        ended = call.ended_at or call.sent_at
        if self._endpoint_disturbed(record, call.sent_at, ended):
            return
        calm = not self._disturbances.unplanned(call.sent_at, ended, keyed=call.keyed)
        stops, reloads = self.stops[call.instance], self.reloads[call.instance]
        in_stop = any(at <= ended <= at + WINDOW_SECONDS for at in stops)
        lost = calm and is_lost(call, record, self.stops)
        if calm and (in_stop or lost):
            self.judged["LOST"] += 1
            self.judged["LOST late"] += self._is_late_in_stop(call)
            if lost:
                since = ended - max(at for at in stops if at <= ended)
                text = f"{call.describe()} was cut off {since:.2f} s after SIGTERM"
                self._report("LOST", text, call)
                return
        if calm and is_cut_by_reload(call, record, reloads):
            text = f"{call.describe()} was cut off around SIGHUP"
            self._report("LOST", text, call)
            return
        if calm and not in_stop:
            self._calm.append((call, record))
        if self._in_touch(call) and is_closed_under(call, record):
            self._cut.append(call)
            if len(self._cut) == MAX_CUT_REQUESTS + 1:
                text = f"{len(self._cut)} connections were closed without an answer"
                self._report("LOST", text, *self._cut)

    def _judge_configurations(self) -> None:
        sent = [version.sent_at for version in self._history.versions]
        self.judged["LOST configuration"] = len(self._calm)
        for call in cut_by_configurations(self._calm, sent):
            text = f"{call.describe()} was cut off beside a configuration"
            self._report("LOST", text, call)

    def _is_late_in_stop(self, call: PlayedCall) -> bool:
        """Whether work up to the end of the stop does not excuse the request."""
        times = (t for t in self.stops[call.instance] if t <= call.sent_at)
        stop = max(times, default=call.sent_at)
        starts = self.starts[call.instance]
        restarted = any(stop < at <= call.sent_at for at in starts)
        return not restarted and call.sent_at > stop + EARLY_SECONDS

    def _endpoint_disturbed(
        self, record: RequestRecord, since: float, until: float
    ) -> bool:
        return record.broken_off or any(
            not self._disturbances.endpoint_calm(
                arrival.endpoint, since, arrival.at, until
            )
            for arrival in record.arrivals
        )

    def _judge_regress(self, calls: list[PlayedCall]) -> None:
        handled, by_id = [], {}
        for call in calls:
            by_id[call.request_id] = call
            number = bisect.bisect(self.starts[call.instance], call.began_at)
            since = call.began_at - DISTURBED_FACTOR * ROLLBACK_SLACK_SECONDS
            disturbed = self._disturbances.slowed(call.instance, since, call.began_at)
            for outcome in outcomes(call, self._audit.seen[call.request_id]):
                handled.append(
                    HandledCall(
                        call.request_id,
                        (call.instance, number),
                        call.began_at,
                        outcome,
                        disturbed,
                    )
                )
        self.judged["CONFIG regress"] = len(handled)
        for item, index in regresses(self._history, handled):
            call = by_id[item.request_id]
            shown = self._history.versions[index].number
            text = f"{call.describe()} on {call.path.decode()} is handled as before"
            self._report("CONFIG", f"{text} version {shown}, which was shown", call)

    def _judge_leaving(self, calls: list[PlayedCall]) -> None:
        by_id, pairs = {}, []
        for call in calls:
            if call.left_at is None or call.keyed:
                continue
            until = call.left_at + GONE_SECONDS
            record = self._audit.seen[call.request_id]
            in_touch = self._disturbances.in_touch(call.instance, call.began_at, until)
            if in_touch and not self._endpoint_disturbed(record, call.began_at, until):
                pairs.append((call, record))
                by_id[call.request_id] = call
        report = judge_leaving(pairs)
        self.judged["GONE"] = len(pairs)
        self.judged["GONE work"] = len(report.lasting)
        if report.arrives_late:
            text = f"{len(report.late)} requests reached endpoints after their callers"
            self._report("GONE", f"{text} left", *(by_id[i] for i in report.late))
        if report.works_on:
            text = f"{len(report.at_work)} of {len(report.lasting)} requests were still"
            late = (by_id[i] for i in report.at_work)
            self._report("GONE", f"{text} worked on after their callers left", *late)

    def _judge_recovery(self, calls: list[PlayedCall]) -> None:
        if self.final_kill is None:
            return
        back_at = max(self.final_kill.back_at, self._disturbances.last_end)
        kill = dataclasses.replace(self.final_kill, back_at=back_at)
        report = judge_recovery(calls, kill)
        self.judged["RECOVER"] = report.sent_after if report.judged else 0
        if not report.recovered:
            self._audit.record_violation(
                f"{report.served_after} of {report.sent_after} requests were served"
                " after all instances were killed",
                "RECOVER",
            )
