"""Directory of the other entry instances, with one link to each of them.

Invariant: there is exactly one link to each known instance that the membership does not
report as gone. Refused connections are passed to the `on_connection_refused` callback.
"""

import asyncio
from collections.abc import Callable

from arbutusflow.adapters.peer import PeerLink
from arbutusflow.adapters.platform import PlatformInstance
from arbutusflow.adapters.settings import Address
from arbutusflow.domain import membership_messages as membership
from arbutusflow.domain.membership import platform_watchers
from arbutusflow.domain.membership_messages import Member, MemberState, View
from arbutusflow.domain.ownership_messages import MembersChanged

LISTED_STATES = {state.value: state for state in membership.ListedState}


class PeerDirectory:
    """Links to the other entry instances and the latest membership view."""

    def __init__(
        self,
        instance: str,
        zone: str,
        on_members: Callable[[MembersChanged], None],
        on_connection_refused: Callable[[str], None],
    ) -> None:
        self.links: dict[str, PeerLink] = {}
        self._instance = instance
        self._on_members = on_members
        self._on_connection_refused = on_connection_refused
        self._closing_tasks: set[asyncio.Task[None]] = set()
        self.members = MembersChanged({instance: zone}, frozenset(), frozenset())
        self._names_by_address: dict[Address, str] = {}
        self._zone = zone
        self._view: View | None = None

    def update_view(self, view: View) -> None:
        """Open and close links according to `view`, and report the members."""
        for name, member in view.members.items():
            if name == self._instance:
                continue
            self._names_by_address[_address_of(member)] = name
            if _may_be_reachable(member):
                self._open(name, member)
            else:
                self._close(name)
        for name in self.links.keys() - view.members.keys():
            self._close(name)
        self._view = view
        self.members = members_event(view)
        self._on_members(self.members)

    def resolve_instances(
        self, instances: tuple[PlatformInstance, ...]
    ) -> membership.InstancesListed:
        """Replace the configured names in the platform's list by process identifiers.

        The platform lists instances by configured name and address, while each process
        chooses a new identifier when it starts.
        """
        return membership.InstancesListed(
            tuple(
                membership.ListedInstance(
                    self._names_by_address.get(
                        Address(item.host, item.port), item.instance
                    ),
                    item.zone,
                    membership.Address(item.host, item.port),
                    LISTED_STATES[item.state],
                )
                for item in instances
                if item.state in LISTED_STATES
            )
        )

    def is_watcher(self) -> bool:
        """Return whether this instance watches the platform for its zone."""
        if self._view is None:
            return False
        return self._instance in platform_watchers(self._zone, self._view)

    def is_declared_gone(self) -> bool:
        """Return whether the others consider this instance gone, which is final."""
        if self._view is None:
            return False
        return self._view.members[self._instance].state is MemberState.GONE

    async def close(self) -> None:
        """Close all links and wait until they are closed."""
        for name in list(self.links):
            self._close(name)
        await asyncio.gather(*self._closing_tasks, return_exceptions=True)

    def _open(self, name: str, member: Member) -> None:
        if name not in self.links:
            self.links[name] = PeerLink(
                _address_of(member), lambda: self._on_connection_refused(name)
            )

    def _close(self, name: str) -> None:
        link = self.links.pop(name, None)
        if link is None:
            return
        task = asyncio.get_running_loop().create_task(link.close())
        self._closing_tasks.add(task)
        task.add_done_callback(self._closing_tasks.discard)


def members_event(view: View) -> MembersChanged:
    """Convert the view to the event of the ownership core.

    A leaving instance is listed separately: it announces that it is leaving when
    its shutdown begins, and coordinates its endpoints until they are handed over.
    """

    def names_in_state(state: MemberState) -> frozenset[str]:
        members = view.members.items()
        return frozenset(name for name, member in members if member.state is state)

    return MembersChanged(
        {name: member.zone for name, member in view.members.items()},
        names_in_state(MemberState.SUSPECTED),
        names_in_state(MemberState.GONE),
        names_in_state(MemberState.LEFT),
    )


def _may_be_reachable(member: Member) -> bool:
    return member.state is not MemberState.GONE


def _address_of(member: Member) -> Address:
    return Address(member.address.host, member.address.port)
