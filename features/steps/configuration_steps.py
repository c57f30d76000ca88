"""Steps for configuration patches."""

from behave import given, then, when

from arbutusflow.domain.configuration import (
    Accepted,
    Configuration,
    Invalid,
    Kind,
    Patch,
    PutService,
    Rank,
    RemoveService,
    Service,
    Stale,
    apply_patch,
)
from arbutusflow.domain.ownership import OwnershipCore
from arbutusflow.domain.ownership_messages import ConfigurationChanged


def service(name):
    return Service(name, (Kind("work", Rank.NORMAL, repeatable=True),))


def send(context, operator, patch):
    context.patches[operator] = patch
    result, context.cfg = apply_patch(context.cfg, patch)
    context.results[operator] = result


@given("configuration number 1 with service {name}")
def step_configuration(context, name):
    context.cfg = Configuration(1, (service(name),))
    context.first_cfg = context.cfg
    context.patches, context.results = {}, {}


@given("an instance that has configuration number 1 in force")
def step_instance(context):
    context.core = OwnershipCore.from_config("i0", "a", context.cfg)


@when("operator {operator} sends a patch against number {number:d} that adds {what}")
def step_patch(context, operator, number, what):
    added, _, removed = what.removeprefix("service ").partition(" and removes service ")
    operations = [PutService(service(added))]
    if removed:
        operations.append(RemoveService(removed))
    patch = Patch(f"{operator}-patch-{number}", number, tuple(operations))
    send(context, operator, patch)


@when("operator {operator} sends the same patch again")
def step_patch_again(context, operator):
    send(context, operator, context.patches[operator])


@when("the instance receives the current configuration")
def step_receive_current(context):
    context.core.handle(ConfigurationChanged(context.cfg), 1.0)


@when("the instance receives configuration number 1 late")
def step_receive_old(context):
    context.core.handle(ConfigurationChanged(context.first_cfg), 2.0)


@then("the patch of {operator} is accepted as number {number:d}")
def step_accepted(context, operator, number):
    assert context.results[operator] == Accepted(number), context.results


@then(
    "the patch of {operator} is refused as stale because the current number is "
    "{number:d}"
)
def step_stale(context, operator, number):
    against = context.patches[operator].against
    assert context.results[operator] == Stale(against, number), context.results


@then("the patch of {operator} is refused as invalid")
def step_invalid(context, operator):
    assert isinstance(context.results[operator], Invalid), context.results


@then("the configuration has the services {names}")
def step_services(context, names):
    found = [item.name for item in context.cfg.services]
    assert found == names.split(", "), found


@then("the configuration has number {number:d}")
def step_number(context, number):
    assert context.cfg.number == number, context.cfg.number


@then("the instance has configuration number {number:d} in force")
def step_in_force(context, number):
    assert context.core.cfg.number == number, context.core.cfg.number
