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
REQUESTS = 80
# Each host loses the connection of every third request that it runs, before its answer.
RESET_EVERY = 3


class Resetting(Host):
    """Runs each request. The connections of some are reset before the answer."""

    async def answer(self, ident, line, writer):
        if len(self.opens) % RESET_EVERY != 1:
            self.record(f"host {self.name} ({self.site}) ran {ident}")
            return await super().answer(ident, line, writer)
        self.record(f"host {self.name} ({self.site}) ran {ident}; its connection is reset")
        linger = struct.pack("ii", 1, 0)
        writer.get_extra_info("socket").setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, linger)
        return False


async def play(case):
    discovery = Discovery(case.record)
    await discovery.start()
    west = Host("s-west", case.record, "west", 1)
    others = [Resetting(f"s-{site}-{number}", case.record, site, block)
              for block, site in enumerate(SITES[1:], 2) for number in (1, 2)]
    for host in [west, *others]:
        await host.start()
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
    for host in others:
        await discovery.change(host.name, dial=host.dial, site=host.site, block=host.block, health="up", share=1.0,
                               born_ms=0, **{"class": "std-box"})
    await discovery.change(west.name, health="draining")
    await asyncio.sleep(1)
    for _ in range(REQUESTS):
        answer = await open_client(node.listen, case.record)
        await asyncio.sleep(0.25)
        answer.close()
    ran = {site: {ident for host in others if host.site == site for _, ident, _ in host.opens} for site in SITES[1:]}
    twice = ran["north"] & ran["east"]
    case.record(f"ran in north: {len(ran['north'])}, in east: {len(ran['east'])}, in both: {len(twice)}")
    if not ran["north"] | ran["east"]:
        raise NotRun("no request came to a host")
    return [f"{len(twice)} keyed requests ran in two zones, whose hosts don't drop each other's repeats"] if twice else []


run_case(play)
