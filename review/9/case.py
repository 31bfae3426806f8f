"""The successor of an upgrade takes clients before it has taken up the agreed version, and uses a host that is out."""

import asyncio
import os
import signal
import sys
import time

sys.path.insert(0, os.path.join(os.path.dirname(os.path.abspath(__file__)), "..", "lib-2"))

from stand_ins import TROUBLE, NotRun, document, in_force, open_client, propose, run_case, start_fleet

OUT = "s-b"
# For how long one node after the other is upgraded.
UPGRADES_S = 65


async def bring_clients(case, address, stop):
    """Brings 50 clients a second, each of which stays for 3 s."""

    async def run_client():
        answer = await open_client(address, case.record)
        await asyncio.sleep(3)
        answer.close()

    clients = []
    while not stop.is_set():
        clients.append(asyncio.create_task(run_client()))
        await asyncio.sleep(0.02)
    await asyncio.gather(*clients)


async def play(case):
    _, hosts, _, nodes = await start_fleet(case, ["n1", "n2", "n3"], ["s-a", "s-b", "s-c"])
    first = await propose(case, nodes[0], document([OUT]))
    await in_force(nodes, first)
    begin = time.monotonic()
    case.record(f"version {first} counts at all nodes, with {OUT} out")
    place = 0
    while time.monotonic() < begin + UPGRADES_S:
        await in_force(nodes, first, 30)
        stop = asyncio.Event()
        clients = asyncio.create_task(bring_clients(case, nodes[place].listen, stop))
        await asyncio.sleep(0.5)
        if TROUBLE:
            old, new = nodes[place], nodes[place].successor()
            await new.start()
            await new.must_be_ready(20)
            old.signal(signal.SIGTERM)
            if not await old.ended(4):
                raise NotRun("the old process did not end")
            nodes[place] = new
        await asyncio.sleep(1.5)
        stop.set()
        await clients
        place = (place + 1) % len(nodes)
    late = [ident for at, ident, _ in hosts[OUT].opens if at > begin]
    case.record(f"requests sent to {OUT} while the version in force has it out: {len(late)}")
    return [f"{len(late)} requests went to {OUT}, which the version in force has out"] if late else []


run_case(play)
