"""Steps for requests, on the delivery and the queue of one coordinator.

The simulation records each wrong outcome, each answer of another request and each
second run of a request as a violation.
"""

from behave import given, then, when
from test_delivery import Simulation, uuid7

from arbutusflow.domain.admission import EndpointQueue
from arbutusflow.domain.configuration import Rank
from arbutusflow.domain.delivery_messages import (
    Answer,
    Arrived,
    Failure,
    Request,
    content_digest,
)
from arbutusflow.domain.limits import FixedLimit
from arbutusflow.domain.reasons import RefusalReason

QUEUE_CAPACITY = 64


class RankedSimulation(Simulation):
    """Simulation in which requests also differ in rank and caller."""

    def take_over(self, *history):
        super().take_over(*history)
        self.queue = EndpointQueue(QUEUE_CAPACITY, FixedLimit(self.slots))

    def arrive_ranked(self, rank, number):
        ticket = len(self.requests)
        content = f"{rank.value} {number}".encode()
        request = Request(
            service="shop",
            unit=1,
            endpoint="shop-1",
            kind=rank.value,
            rank=rank,
            repeatable=True,
            caller=f"caller-{number % 4}",
            digest=content_digest("shop", rank.value, "key", content),
            deadline=self.now + 30.0,
        )
        self.requests[ticket] = request
        self.handle(Arrived(ticket, request, self.wall))

    def of_rank(self, rank):
        return [t for t, request in self.requests.items() if request.rank is rank]

    def answered(self, rank):
        return [t for t in self.of_rank(rank) if self.result(t) == "answered"]

    def refused(self, reason):
        return [
            ticket
            for ticket, reply in self.replies.items()
            if not isinstance(reply, Answer) and reply.reason is reason
        ]

    def complete(self, count):
        """Run `count` requests one after the other and let each be answered."""
        for _ in range(count):
            self.dispatch()
            self.end(0)
            self.advance(0.01)


def arrive(context, name, repeatable, seconds=10.0):
    simulation = context.requests
    context.request_id = uuid7(simulation.wall, len(simulation.requests))
    context.content, context.repeatable = name, repeatable
    context.ticket = simulation.arrive(context.request_id, name, repeatable, seconds)


def send(context, name, repeatable, failure=None):
    arrive(context, name, repeatable)
    context.requests.dispatch(failure)


@given("a coordinator with one endpoint that runs {slots:d} requests concurrently")
def step_coordinator(context, slots):
    context.requests = RankedSimulation(slots=slots)


@when("{count:d} {rank} requests arrive")
def step_many_arrive(context, count, rank):
    for number in range(count):
        context.requests.arrive_ranked(Rank(rank), number)


@when("the endpoint completes {count:d} requests")
@when("the endpoint completes {count:d} request")
def step_complete(context, count):
    context.requests.complete(count)


@when("{count:d} requests occupy the endpoint")
def step_occupy(context, count):
    for number in range(count):
        context.requests.arrive_ranked(Rank.URGENT, number)
        context.requests.dispatch()


@when('a request "{name}" that may be repeated arrives')
def step_arrives(context, name):
    arrive(context, name, repeatable=True)


@when('a request "{name}" that may not be repeated arrives with 1 second left')
def step_arrives_near_deadline(context, name):
    arrive(context, name, repeatable=False, seconds=1.0)


@when('a request "{name}" that may be repeated crashes the endpoint')
def step_crashes(context, name):
    send(context, name, repeatable=True, failure=Failure.ENDPOINT_EXITED)
    context.requests.end(0)


@when('a request "{name}" that may not be repeated is sent')
def step_sent(context, name):
    send(context, name, repeatable=False)


@when('a request "{name}" that may not be repeated is sent and {fault}')
def step_sent_with_fault(context, name, fault):
    failure = {
        "its connection goes silent": Failure.PROGRESS_TIMEOUT,
        "its answer is lost": Failure.CONNECTION_LOST,
        "its deadline passes": Failure.DEADLINE_PASSED,
    }[fault]
    send(context, name, repeatable=False, failure=failure)
    context.requests.end(0)


@when("the same request arrives again")
def step_sent_again(context):
    context.first_ticket = context.ticket
    context.ticket = context.requests.arrive(
        context.request_id, context.content, context.repeatable
    )


@when("the endpoint answers")
def step_answers(context):
    context.requests.end(0)


@when("the coordinator is replaced by one without its request history")
def step_replaced(context):
    context.requests.take_over()


@when("the coordinator hands over to another one")
def step_hands_over(context):
    context.requests.move()


@when("{seconds:g} seconds pass for the requests")
def step_time_passes(context, seconds):
    context.requests.advance(seconds)


@then("all {rank} requests are answered")
def step_all_answered(context, rank):
    simulation = context.requests
    assert simulation.answered(Rank(rank)) == simulation.of_rank(Rank(rank)) != []


@then("at least {count:d} {rank} requests are answered")
def step_some_answered(context, count, rank):
    answered = len(context.requests.answered(Rank(rank)))
    assert answered >= count, f"{answered} {rank} requests were answered"


@then('background requests were shed with the reason "{reason}"')
def step_shed(context, reason):
    simulation = context.requests
    shed = simulation.refused(RefusalReason(reason))
    assert shed, "nothing was shed"
    assert set(shed) <= set(simulation.of_rank(Rank.BACKGROUND))


@then("only background requests were shed for urgent requests")
def step_shed_for_urgent(context):
    simulation = context.requests
    shed = simulation.refused(RefusalReason.SHED_FOR_URGENT)
    assert shed, "nothing was shed"
    assert set(simulation.replies) <= set(simulation.of_rank(Rank.BACKGROUND))


@then('the last request is refused as {outcome} with "{reason}"')
def step_refused(context, outcome, reason):
    found = context.requests.result(context.ticket)
    assert found == (outcome, reason), found


@then("the last request is answered")
def step_answered(context):
    found = context.requests.result(context.ticket)
    assert found == "answered", found


@then("both copies have the same answer")
def step_same_answer(context):
    replies = context.requests.replies
    assert isinstance(replies[context.ticket], Answer)
    assert replies[context.ticket] == replies[context.first_ticket]


@then("no request that may not be repeated ran twice")
@then("every request has one outcome and it is correct")
def step_no_violations(context):
    context.requests.run_to_completion()
    assert context.requests.violations == [], context.requests.violations
