"""A drain that the old process was told of during a replacement is not known to the new one, which sends new work there."""

import asyncio
import os
import signal
import sys
import time

sys.path.insert(0, os.path.join(os.path.dirname(os.path.abspath(__file__)), "..", "lib-2"))

from stand_ins import Discovery, Host, Node, NotRun, TROUBLE, open_client, run_case, settings

HOSTS = 8
DRAINING = ("s-1", "s-2")
CLIENTS_A_SECOND = 12
# What discovery tells during an upgrade counts as told so long after the new process's yes.
TOLD_S = 2.0
# The grace of the site, and the slack of the protocol page.
GRACE_S = 0.5 + 0.05
# How long a call waits until discovery turns it away.
CALL_WAITS_S = 1.0


class CrowdedDiscovery(Discovery):
    """Turns new calls away while it has too many callers. Watches that are open go on."""

    crowded = False

    async def _serve(self, reader, writer):
        if not self.crowded:
            return await super()._serve(reader, writer)
        try:
            while (await reader.readline()).strip():
                pass
            await asyncio.sleep(CALL_WAITS_S)
            self.record("discovery turned a call away")
            writer.write(b"HTTP/1.1 503 Service Unavailable\r\nContent-Length: 0\r\n\r\n")
            await writer.drain()
        except (ConnectionError, OSError):
            pass
        finally:
            writer.close()


class DrainingHost(Host):
    """Turns new requests away while it drains, and finishes what it has."""

    draining = False

    async def answer(self, ident, line, writer):
        if self.draining:
            writer.write(b"BUSY\r\n")
            return False
        return await super().answer(ident, line, writer)


async def bring_clients(case, address, stop):
    async def run_client():
        answer = await open_client(address, case.record)
        await asyncio.sleep(5)
        answer.close()

    clients = []
    while not stop.is_set():
        clients.append(asyncio.create_task(run_client()))
        await asyncio.sleep(1 / CLIENTS_A_SECOND)
    await asyncio.gather(*clients)


async def play(case):
    discovery = CrowdedDiscovery(case.record)
    await discovery.start()
    hosts = {}
    for number in range(1, HOSTS + 1):
        name = f"s-{number}"
        hosts[name] = await DrainingHost(name, case.record).start()
        discovery.put(name, hosts[name].dial)
    config = {"discovery": discovery.address, "limits": {"sockets": 1024}, "known": discovery.whole(),
              "settings": settings()}
    old = await Node(case, "n1", config).start()
    await old.must_be_ready()
    stop = asyncio.Event()
    clients = asyncio.create_task(bring_clients(case, old.listen, stop))
    await asyncio.sleep(5)
    discovery.crowded = TROUBLE
    # The watch of the old process brings a line now, so its list is as fresh as can be when it is replaced.
    await discovery.change("s-8", health="up")
    new = old.successor()
    await new.start()
    await asyncio.sleep(0.5)
    if old.process.returncode is not None:
        raise NotRun("the old process has ended")
    for name in DRAINING:
        hosts[name].draining = True
        await discovery.change(name, health="draining")
    written = time.monotonic()
    await new.must_be_ready(6)
    yes = time.monotonic()
    old.signal(signal.SIGTERM)
    if not await old.ended(4):
        raise NotRun("the old process did not end")
    await asyncio.sleep(7)
    discovery.crowded = False
    await asyncio.sleep(2)
    stop.set()
    await clients
    told = max(written, yes + TOLD_S)
    case.record(f"yes {yes - written:.3f} s after the drains were written to the old process's watch")
    late = []
    for name in DRAINING:
        for at, ident, _ in hosts[name].opens:
            if at > told + GRACE_S:
                late.append(ident)
                case.record(f"{ident} was sent to {name} {at - yes:.3f} s after the yes")
    return [f"{len(late)} requests were sent to hosts that drain, after the grace"] if late else []


run_case(play)
