"""Peer directory: keeps one link to each reachable entry instance.

Invariant: there is a link to each known instance that is not proven gone, and to
no other. An instance that leaves is proven gone when its address refuses.
"""

import asyncio
from collections.abc import Callable

from arbutusflow.adapters.peer import PeerLink
from arbutusflow.adapters.platform import ListedInstance
from arbutusflow.adapters.settings import Address
from arbutusflow.domain import membership_messages as membership
from arbutusflow.domain.membership import platform_watchers
from arbutusflow.domain.membership_messages import Member, MemberState, View
from arbutusflow.domain.ownership_messages import MembersChanged

LISTED_STATES = {state.value: state for state in membership.ListedState}


class PeerDirectory:
    """Links to the other entry instances and the latest view of them."""

    def __init__(
        self,
        instance: str,
        zone: str,
        on_members: Callable[[MembersChanged], None],
        on_refused: Callable[[str], None],
    ) -> None:
        self.links: dict[str, PeerLink] = {}
        self._instance = instance
        self._on_members = on_members
        self._on_refused = on_refused
        self._closing: set[asyncio.Task[None]] = set()
        self.members = MembersChanged({instance: zone}, frozenset(), frozenset())
        self._by_address: dict[Address, str] = {}
        self._zone = zone
        self._view: View | None = None

    def take_view(self, view: View) -> None:
        """Open and close links as `view` says and pass the members on."""
        for name, member in view.members.items():
            if name == self._instance:
                continue
            self._by_address[_address_of(member)] = name
            if _may_answer(member):
                self._open(name, member)
            else:
                self._close(name)
        for name in self.links.keys() - view.members.keys():
            self._close(name)
        self._view = view
        self.members = members_of(view)
        self._on_members(self.members)

    def listed(
        self, instances: tuple[ListedInstance, ...]
    ) -> membership.InstancesListed:
        """Return the platform's list under the instances' own identifiers.

        The platform knows machines by name and address; an identifier is chosen by
        each process start.
        """
        return membership.InstancesListed(
            tuple(
                membership.ListedInstance(
                    self._by_address.get(Address(item.host, item.port), item.instance),
                    item.zone,
                    membership.Address(item.host, item.port),
                    LISTED_STATES[item.state],
                )
                for item in instances
                if item.state in LISTED_STATES
            )
        )

    def is_watcher(self) -> bool:
        """Tell whether this instance watches the platform for its zone."""
        if self._view is None:
            return False
        return self._instance in platform_watchers(self._zone, self._view)

    def has_ended(self) -> bool:
        """Tell whether the other instances hold this one for gone, which is final."""
        if self._view is None:
            return False
        return self._view.members[self._instance].state is MemberState.GONE

    async def close(self) -> None:
        """Close all links."""
        for name in list(self.links):
            self._close(name)
        await asyncio.gather(*self._closing, return_exceptions=True)

    def _open(self, name: str, member: Member) -> None:
        if name not in self.links:
            self.links[name] = PeerLink(
                _address_of(member), lambda: self._on_refused(name)
            )

    def _close(self, name: str) -> None:
        link = self.links.pop(name, None)
        if link is None:
            return
        task = asyncio.get_running_loop().create_task(link.close())
        self._closing.add(task)
        task.add_done_callback(self._closing.discard)


def members_of(view: View) -> MembersChanged:
    """Return the view as the ownership core takes it.

    An instance announces that it leaves at the beginning of its stop, and acts for
    its endpoints until they are handed over.
    """

    def named(state: MemberState) -> frozenset[str]:
        members = view.members.items()
        return frozenset(name for name, member in members if member.state is state)

    return MembersChanged(
        {name: member.zone for name, member in view.members.items()},
        named(MemberState.SUSPECTED),
        named(MemberState.GONE),
        named(MemberState.LEFT),
    )


def _may_answer(member: Member) -> bool:
    return member.state is not MemberState.GONE


def _address_of(member: Member) -> Address:
    return Address(member.address.host, member.address.port)
