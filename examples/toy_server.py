"""Two toy hosts, and discovery that lists them. Type `drain` or `up` to change how the first one is listed."""

import asyncio
import json
import sys

HOSTS = {"s-one": 9101, "s-two": 9102}
DISCOVERY = (8500, 8501)


class Listing:
    def __init__(self):
        self.seq = 1
        self.health = {name: "up" for name in HOSTS}
        self.changed = asyncio.Condition()

    def line(self):
        hosts = [
            {"host": name, "dial": f"127.0.0.1:{port}", "site": "here", "class": "toy", "block": 0,
             "health": self.health[name], "share": 1.0, "born_ms": 0}
            for name, port in HOSTS.items()
        ]
        return json.dumps({"seq": self.seq, "whole": True, "hosts": hosts})

    async def set(self, name, health):
        async with self.changed:
            self.seq += 1
            self.health[name] = health
            self.changed.notify_all()


async def watch(listing, reader, writer):
    """Answers a call with the whole list, or with a watch: that list, each change, and an empty line every 2 s."""

    def chunk(text):
        writer.write(f"{len(text) + 1:x}\r\n{text}\n\r\n".encode())

    try:
        asked = await reader.readline()
        while (await reader.readline()).strip():
            pass
        if b"stream=1" not in asked:
            line = listing.line()
            writer.write(f"HTTP/1.1 200 OK\r\nContent-Length: {len(line)}\r\n\r\n{line}".encode())
            return
        writer.write(b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n")
        chunk(listing.line())
        while not writer.is_closing():
            await writer.drain()
            try:
                async with listing.changed:
                    await asyncio.wait_for(listing.changed.wait(), 2)
                chunk(listing.line())
            except (asyncio.TimeoutError, TimeoutError):
                chunk("")
    except ConnectionError:
        pass
    finally:
        writer.close()


async def serve(name, reader, writer):
    """Takes a client up and says back what it says."""
    try:
        first = (await reader.readline()).decode().split()
        if first[:1] != ["OPEN"]:
            writer.write(b"SYNTAX\r\n")
            return
        print(f"{name}: {' '.join(first)}", flush=True)
        writer.write(f"UP {first[1]}\r\nLOAD 1000\r\n".encode())
        while line := await reader.readline():
            writer.write(line)
            await writer.drain()
    except ConnectionError:
        pass
    finally:
        writer.close()


async def main():
    listing = Listing()
    for name, port in HOSTS.items():
        await asyncio.start_server(lambda r, w, name=name: serve(name, r, w), "127.0.0.1", port)
    for port in DISCOVERY:
        await asyncio.start_server(lambda r, w: watch(listing, r, w), "127.0.0.1", port)
    print(f"hosts: {HOSTS}; discovery: {DISCOVERY}", flush=True)
    words = asyncio.StreamReader()
    loop = asyncio.get_running_loop()
    try:
        await loop.connect_read_pipe(lambda: asyncio.StreamReaderProtocol(words), sys.stdin)
    except ValueError:
        await asyncio.Event().wait()
    while word := (await words.readline()).decode().strip():
        if word in ("drain", "up"):
            await listing.set("s-one", "draining" if word == "drain" else "up")
    await asyncio.Event().wait()


try:
    asyncio.run(main())
except KeyboardInterrupt:
    pass
