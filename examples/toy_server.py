"""Two example hosts, and a discovery service that lists them.

Type `drain` or `up` to change the health of the first host in the list."""

import asyncio
import json
import sys

HOSTS = {"s-one": 9101, "s-two": 9102}
DISCOVERY_PORTS = (8500, 8501)


class EndpointList:
    """The endpoint list; `changed` is notified of each change."""

    def __init__(self):
        self.seq = 1
        self.health = {name: "up" for name in HOSTS}
        self.changed = asyncio.Condition()

    def to_json(self):
        hosts = [
            {"host": name, "dial": f"127.0.0.1:{port}", "site": "here", "class": "toy", "block": 0,
             "health": self.health[name], "share": 1.0, "born_ms": 0}
            for name, port in HOSTS.items()
        ]
        return json.dumps({"seq": self.seq, "whole": True, "hosts": hosts})

    async def set_health(self, name, health):
        async with self.changed:
            self.seq += 1
            self.health[name] = health
            self.changed.notify_all()


async def serve_discovery(endpoint_list, reader, writer):
    """Answers a discovery call with the complete list, or with a watch: the list, again after each change, and an empty line
    after 2 s without a change."""

    def write_chunk(text):
        writer.write(f"{len(text) + 1:x}\r\n{text}\n\r\n".encode())

    try:
        request_line = await reader.readline()
        while (await reader.readline()).strip():
            pass
        if b"stream=1" not in request_line:
            body = endpoint_list.to_json()
            writer.write(f"HTTP/1.1 200 OK\r\nContent-Length: {len(body)}\r\n\r\n{body}".encode())
            return
        writer.write(b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n")
        write_chunk(endpoint_list.to_json())
        while not writer.is_closing():
            await writer.drain()
            try:
                async with endpoint_list.changed:
                    await asyncio.wait_for(endpoint_list.changed.wait(), 2)
                write_chunk(endpoint_list.to_json())
            except (asyncio.TimeoutError, TimeoutError):
                write_chunk("")
    except ConnectionError:
        pass
    finally:
        writer.close()


async def serve_client(name, reader, writer):
    """Accepts a request and echoes the lines of the client."""
    try:
        request = (await reader.readline()).decode().split()
        if request[:1] != ["OPEN"]:
            writer.write(b"SYNTAX\r\n")
            return
        print(f"{name}: {' '.join(request)}", flush=True)
        writer.write(f"UP {request[1]}\r\nLOAD 1000\r\n".encode())
        while line := await reader.readline():
            writer.write(line)
            await writer.drain()
    except ConnectionError:
        pass
    finally:
        writer.close()


async def main():
    endpoint_list = EndpointList()
    for name, port in HOSTS.items():
        await asyncio.start_server(lambda r, w, name=name: serve_client(name, r, w), "127.0.0.1", port)
    for port in DISCOVERY_PORTS:
        await asyncio.start_server(lambda r, w: serve_discovery(endpoint_list, r, w), "127.0.0.1", port)
    print(f"hosts: {HOSTS}; discovery: {DISCOVERY_PORTS}", flush=True)
    commands = asyncio.StreamReader()
    loop = asyncio.get_running_loop()
    try:
        await loop.connect_read_pipe(lambda: asyncio.StreamReaderProtocol(commands), sys.stdin)
    except ValueError:
        await asyncio.Event().wait()
    while command := (await commands.readline()).decode().strip():
        if command in ("drain", "up"):
            await endpoint_list.set_health("s-one", "draining" if command == "drain" else "up")
    await asyncio.Event().wait()


try:
    asyncio.run(main())
except KeyboardInterrupt:
    pass
