"""After an upgrade the id of an open request is forgotten, and another client is served under it."""

import asyncio
import os
import signal
import sys

sys.path.insert(0, os.path.join(os.path.dirname(os.path.abspath(__file__)), "..", "lib-2"))

from stand_ins import Discovery, Host, Node, NotRun, TROUBLE, new_id, open_client, run_case, settings

OTHERS = 1200


async def play(case):
    discovery = Discovery(case.record)
    await discovery.start()
    for name in ("s-a", "s-b", "s-c"):
        host = await Host(name, case.record).start()
        discovery.put(name, host.dial)
    config = {"discovery": discovery.address, "limits": {"sockets": 1024}, "known": discovery.whole(),
              "settings": settings()}
    node = await Node(case, "n1", config).start()
    await node.must_be_ready()
    ident = new_id()
    own = await open_client(node.listen, case.record, ident=ident)
    if not own.up:
        raise NotRun("the client was not served")

    async def line_comes_back(text):
        own.writer.write(f"{text}\r\n".encode())
        await own.writer.drain()
        return (await asyncio.wait_for(own.reader.readline(), 2)).decode().strip() == text

    if TROUBLE:
        old, node = node, node.successor()
        await node.start()
        await node.must_be_ready(6)
        old.signal(signal.SIGTERM)
        if not await old.ended(5):
            raise NotRun("the old process did not end")
    # Other clients come and go. The first one's connection stays open.
    for number in range(OTHERS):
        answer = await open_client(node.listen, case.record, quiet=True)
        answer.close()
        if number % 40 == 0 and not await line_comes_back(f"M {number}"):
            raise NotRun("the client's connection did not go on")
        await asyncio.sleep(0.02)
    foreign = await open_client(node.listen, case.record, ident=ident)
    if not await line_comes_back("M last"):
        raise NotRun("the client's connection did not go on")
    case.record(f"the client with the foreign id got {foreign.line!r}; the connection of that id is open")
    return [f"a client with the id of another client's open request was served: {foreign.line}"] if foreign.up else []


run_case(play)
