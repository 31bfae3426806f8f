"""The old process takes a new configuration while it is replaced; the new one never hears of it and loses discovery."""

import asyncio
import os
import signal
import sys
import time

sys.path.insert(0, os.path.join(os.path.dirname(os.path.abspath(__file__)), "..", "lib-2"))

from stand_ins import Discovery, Host, Node, NotRun, TROUBLE, open_client, run_case, settings

HOSTS = 6
DRAINING = "s-1"
CLIENTS_A_SECOND = 8
# Discovery answers each call after this time: it is slow.
CALL_WAITS_S = 1.5
# After this time the old address takes no call any more and its watches end.
MOVED_S = 1.5
# What discovery has to tell counts as told at the latest so long after it had it.
TOLD_S = 6.0
# The grace of the site, and the slack of the protocol page.
GRACE_S = 0.5 + 0.05
PLAY_S = 60


class SlowDiscovery(Discovery):
    """Works through its calls slowly; closes its address when discovery has moved."""

    def __init__(self, record):
        super().__init__(record)
        self.server, self.callers = None, set()

    async def start(self):
        self.server = await asyncio.start_server(self._serve, "127.0.0.1", 0)
        self.address = "127.0.0.1:%d" % self.server.sockets[0].getsockname()[1]

    async def _serve(self, reader, writer):
        self.callers.add(writer)
        try:
            await asyncio.sleep(CALL_WAITS_S)
            await super()._serve(reader, writer)
        finally:
            self.callers.discard(writer)

    def follow(self, other):
        """Tells what another address of the same service tells."""
        self.seq, self.hosts, self.changes = other.seq, dict(other.hosts), list(other.changes)

    async def close(self):
        self.server.close()
        await asyncio.sleep(MOVED_S)
        for writer in list(self.callers):
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
    before, after = SlowDiscovery(case.record), SlowDiscovery(case.record)
    await before.start()
    await after.start()
    hosts = {}
    for number in range(1, HOSTS + 1):
        name = f"s-{number}"
        hosts[name] = await DrainingHost(name, case.record).start()
        before.put(name, hosts[name].dial)
    after.follow(before)
    config = {"discovery": before.address, "limits": {"sockets": 1024}, "known": before.whole(),
              "settings": settings()}
    old = await Node(case, "n1", config).start()
    await old.must_be_ready()
    stop = asyncio.Event()
    clients = asyncio.create_task(bring_clients(case, old.listen, stop))
    await asyncio.sleep(4)
    if TROUBLE:
        new = old.successor()
        await new.start()
        await asyncio.sleep(0.5)
    old.config["discovery"] = after.address
    old.write_config(old.config_path)
    old.signal(signal.SIGHUP)
    moved = asyncio.create_task(before.close())
    if TROUBLE:
        await new.must_be_ready(6)
        old.signal(signal.SIGTERM)
        if not await old.ended(4):
            raise NotRun("the old process did not end")
    await moved
    await asyncio.sleep(8)
    hosts[DRAINING].draining = True
    await after.change(DRAINING, health="draining")
    drained = time.monotonic()
    await asyncio.sleep(PLAY_S)
    stop.set()
    await clients
    late = [(at, ident) for at, ident, _ in hosts[DRAINING].opens if at > drained + TOLD_S + GRACE_S]
    for at, ident in late:
        case.record(f"{ident} was sent to {DRAINING} {at - drained:.3f} s after it began to drain")
    return [f"{len(late)} requests were sent to a host that drains, up to {late[-1][0] - drained:.0f} s later"] if late else []


run_case(play)
