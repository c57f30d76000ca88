"""The order in which an endpoint gets ranges that have no owner yet."""

from arbutusflow.gateway.key_leases import grant_order
from arbutusflow.gateway.key_table import KeyRange


def test_ranges_without_an_owner_come_first_and_the_busiest_ahead():
    """A new owner of 2 ranges, of which one has 3 requests per second, has 20 others.

    Guards against busy keys that wait for the renewal of ranges that are held: over a
    link between regions, each grant takes 40 ms.
    """
    held = [KeyRange(100 * i, 100 * i + 99, "e0", token=i + 1) for i in range(20)]
    idle, busy = KeyRange(3000, 3009, "e0", token=50), KeyRange(5000, 5009, "e0")
    granted = {key_range.grant_id for key_range in held}
    order = grant_order([idle, *held, busy], granted, {5003: 300, 3007: 20, 350: 900})
    assert order == [busy, idle, *held]
