"""A keyed request that may have run in one zone is sent again in another one, after new settings named two more zones."""

import asyncio
import os
import signal
import socket
import struct
import sys

sys.path.insert(0, os.path.join(os.path.dirname(os.path.abspath(__file__)), "..", "lib-2"))

from stand_ins import Discovery, Host, Node, NotRun, TROUBLE, chat_class, open_client, run_case, settings

SITES = ["west", "north", "east"]
REQUESTS = 12


class Resetting(Host):
    """Runs each request, and its connection is reset before the answer."""

    async def answer(self, ident, line, writer):
        self.record(f"host {self.name} ({self.site}) ran {ident}; its connection is reset")
        linger = struct.pack("ii", 1, 0)
        writer.get_extra_info("socket").setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, linger)
        return False


async def play(case):
    discovery = Discovery(case.record)
    await discovery.start()
    hosts = [Host("s-west", case.record, "west", 1), Resetting("s-north", case.record, "north", 2),
             Resetting("s-east", case.record, "east", 3)]
    for host in hosts:
        await host.start()
    west, north, east = hosts
    discovery.put(west.name, west.dial, west.site, west.block)
    # The hosts of one zone drop the repeats of a key for 5 s.
    keyed = [chat_class(semantics="dedup", group="zone", window=5000000)]
    config = {"discovery": discovery.address, "limits": {"sockets": 1024}, "known": discovery.whole(),
              "settings": settings(keyed, zones=SITES[:1] if TROUBLE else SITES)}
    node = await Node(case, "n1", config).start()
    await node.must_be_ready()
    if TROUBLE:
        node.config["settings"] = settings(keyed, zones=SITES)
        node.write_config(node.config_path)
        node.signal(signal.SIGHUP)
    await asyncio.sleep(2)
    _, counters = await node.call("GET", "/control/counters")
    if TROUBLE and "router.reconfig_ok:1|" not in counters:
        raise NotRun("the new settings were not taken")
    for host in (north, east):
        await discovery.change(host.name, dial=host.dial, site=host.site, block=host.block, health="up", share=1.0,
                               born_ms=0, **{"class": "std-box"})
    await discovery.change(west.name, health="draining")
    await asyncio.sleep(1)
    for _ in range(REQUESTS):
        answer = await open_client(node.listen, case.record)
        answer.close()
        await asyncio.sleep(1.2)
    ran = {host.site: {ident for _, ident, _ in host.opens} for host in (north, east)}
    twice = ran["north"] & ran["east"]
    case.record(f"ran in north: {len(ran['north'])}, in east: {len(ran['east'])}, in both: {len(twice)}")
    if not ran["north"] | ran["east"]:
        raise NotRun("no request came to a host")
    return [f"{len(twice)} keyed requests ran in two zones, whose hosts don't drop each other's repeats"] if twice else []


run_case(play)
