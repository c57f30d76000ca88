"""Loopback addresses and ports that no other test process uses.

Test processes run side by side. A port that is free when a test chooses it may belong
to a connection or a server of another process when the test binds it, unless the
process has the address to itself. Linux routes all of 127.0.0.0/8 to the loopback
device, and gives connections that are not bound the source address 127.0.0.1.
"""

import contextlib
import os
import socket

HOSTS_PER_PROCESS = 256


def own_host(number: int = 0) -> str:
    """Return an address of this process: 0 for the test itself, others for instances.

    Processes whose identifiers differ by less than 50 000 get different addresses.
    """
    assert 0 <= number < HOSTS_PER_PROCESS
    pid = os.getpid()
    return f"127.{pid // 250 % 200 + 1}.{pid % 250}.{number}"


def free_ports(host: str, count: int) -> list[int]:
    """Return different free ports of an address that this process has to itself."""
    with contextlib.ExitStack() as held:
        ports = []
        for _ in range(count):
            sock = held.enter_context(socket.socket())
            sock.bind((host, 0))
            ports.append(int(sock.getsockname()[1]))
        return ports
