"""Stand-ins and helpers for the cases of the second review.

Discovery, hosts and clients speak the protocol of the operators' pages on loopback addresses. The node is started
with `run` of deploy/balancer.toml. Only the standard library is used.
"""

import asyncio
import json
import os
import re
import shutil
import signal
import socket
import sys
import tempfile
import time

REPOSITORY = os.path.abspath(os.path.join(os.path.dirname(__file__), "..", ".."))
TROUBLE = os.environ.get("TROUBLE", "1") != "0"
HELD, BROKEN, NOT_RUN = 0, 1, 2


class NotRun(Exception):
    """The case cannot run: a part of it did not start, or a precondition was not met."""


def free_port(kind=socket.SOCK_STREAM):
    with socket.socket(socket.AF_INET, kind) as probe:
        probe.bind(("127.0.0.1", 0))
        return probe.getsockname()[1]


def free_ports(count, kind=socket.SOCK_STREAM):
    """Returns different free ports."""
    probes = [socket.socket(socket.AF_INET, kind) for _ in range(count)]
    for probe in probes:
        probe.bind(("127.0.0.1", 0))
    ports = [probe.getsockname()[1] for probe in probes]
    for probe in probes:
        probe.close()
    return ports


class Record:
    """The file record.txt of a case: one line for each thing that was sent, answered or done, with its time."""

    def __init__(self, path):
        self.file = open(path, "w", encoding="utf-8")
        self.start = time.monotonic()
        self.file.write(f"trouble={int(TROUBLE)}\n")

    def now(self):
        return time.monotonic() - self.start

    def __call__(self, text):
        # All addresses are loopback ones: the port tells them apart.
        text = text.replace("127.0.0.1:", "port ")
        self.file.write(f"{self.now():8.3f} {text}\n")
        self.file.flush()


class Discovery:
    """Discovery: the whole list, and watches that hold one JSON object a line, an empty one every 2 s."""

    def __init__(self, record):
        self.record = record
        self.seq = 41
        self.hosts = {}
        self.changes = []
        self.changed = asyncio.Condition()
        self.address = None

    async def start(self):
        server = await asyncio.start_server(self._serve, "127.0.0.1", 0)
        self.address = "127.0.0.1:%d" % server.sockets[0].getsockname()[1]

    def put(self, name, dial, site="here", block=1, health="up", born_ms=0):
        """Lists a host without telling open watches; for the list at the start."""
        self.hosts[name] = {
            "host": name, "dial": dial, "site": site, "class": "std-box", "block": block,
            "health": health, "share": 1.0, "born_ms": born_ms,
        }

    async def change(self, name, **values):
        """Changes an entry or adds one, and tells open watches."""
        async with self.changed:
            entry = {**self.hosts.get(name, {}), "host": name, **values}
            self.seq += 1
            if entry["health"] == "removed":
                self.hosts.pop(name, None)
            else:
                self.hosts[name] = entry
            self.changes.append((self.seq, entry))
            self.record(f"discovery seq={self.seq} {json.dumps(entry)}")
            self.changed.notify_all()

    def whole(self):
        return {"seq": self.seq, "whole": True, "hosts": list(self.hosts.values())}

    async def _serve(self, reader, writer):
        try:
            request = (await reader.readline()).decode()
            while (await reader.readline()).strip():
                pass
            if "stream=1" not in request:
                body = json.dumps(self.whole())
                writer.write(f"HTTP/1.1 200 OK\r\nContent-Length: {len(body)}\r\n\r\n{body}".encode())
                await writer.drain()
                return
            writer.write(b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n")
            told = self.seq
            self._chunk(writer, json.dumps(self.whole()))
            while True:
                await writer.drain()
                async with self.changed:
                    try:
                        await asyncio.wait_for(self.changed.wait_for(lambda: self.seq > told), 2)
                    except (asyncio.TimeoutError, TimeoutError):
                        pass
                    news = [entry for seq, entry in self.changes if seq > told]
                    told = self.seq
                text = json.dumps({"seq": told, "whole": False, "hosts": news}) if news else ""
                self._chunk(writer, text)
        except (ConnectionError, asyncio.CancelledError, OSError):
            pass
        finally:
            writer.close()

    @staticmethod
    def _chunk(writer, text):
        data = f"{text}\n".encode()
        writer.write(f"{len(data):x}\r\n".encode() + data + b"\r\n")


class Host:
    """A host that takes each request with `UP` and brings each line back.

    `opens` lists the requests that it was sent, as (time, id, first line)."""

    def __init__(self, name, record, site="here", block=1):
        self.name, self.record, self.site, self.block = name, record, site, block
        self.opens = []
        self.open_ids = set()
        self.connections = set()
        self.server = None
        self.port = None

    async def start(self, port=0):
        self.server = await asyncio.start_server(self._serve, "127.0.0.1", port)
        self.port = self.server.sockets[0].getsockname()[1]
        return self

    @property
    def dial(self):
        return f"127.0.0.1:{self.port}"

    async def answer(self, ident, line, writer):
        """Answers a request; returns whether it is up."""
        if ident in self.open_ids:
            # The id of a connection that is open here: turned away.
            writer.write(b"ERR\r\n")
            return False
        writer.write(f"UP {ident}-{self.name}\r\n".encode())
        return True

    async def _serve(self, reader, writer):
        ident, up = None, False
        self.connections.add(writer)
        try:
            line = await reader.readline()
            if not line.endswith(b"\r\n"):
                return
            text = line.decode("ascii", "replace").strip()
            if not text.startswith("OPEN "):
                self.record(f"host {self.name} SYNTAX {text[:100]}")
                writer.write(b"SYNTAX\r\n")
                return
            ident = text.split(" ")[1]
            self.opens.append((time.monotonic(), ident, text))
            self.record(f"host {self.name} got {text}")
            up = await self.answer(ident, text, writer)
            await writer.drain()
            if not up:
                return
            self.open_ids.add(ident)
            while line := await reader.readline():
                writer.write(line)
                await writer.drain()
        except (ConnectionError, OSError, asyncio.CancelledError):
            pass
        finally:
            if up:
                self.open_ids.discard(ident)
            self.connections.discard(writer)
            writer.close()


class Answer:
    """The first answer to a client, and its connection if it is up."""

    def __init__(self, line, reader=None, writer=None):
        self.line, self.reader, self.writer = line, reader, writer

    @property
    def up(self):
        return self.line.startswith("UP ")

    def close(self):
        if self.writer is not None:
            self.writer.close()


def new_id():
    return os.urandom(8).hex()


async def open_client(address, record, klass="chat", wait_ms=2000, ident=None, group=None, quiet=False):
    """Sends a request to a node and waits for its answer; the line is empty if there is none."""
    ident = ident or new_id()
    host, port = address.rsplit(":", 1)
    group = f",g={group}" if group else ""
    line = f"OPEN {ident} 7f3a9c21e0b4d655 c={klass},d={wait_ms}{group}"
    try:
        reader, writer = await asyncio.wait_for(asyncio.open_connection(host, int(port)), 2)
    except (OSError, asyncio.TimeoutError, TimeoutError) as error:
        record(f"client {ident} not connected: {error!r}")
        return Answer("", None, None)
    try:
        writer.write(f"{line}\r\n".encode())
        await writer.drain()
        answer = await asyncio.wait_for(reader.readline(), wait_ms / 1000 + 1)
    except (OSError, asyncio.TimeoutError, TimeoutError) as error:
        record(f"client {ident} no answer: {error!r}")
        answer = b""
    text = answer.decode("ascii", "replace").strip()
    if not quiet:
        record(f"client {ident} sent {line!r} got {text!r}")
    return Answer(text, reader, writer)


async def http(address, method, path, body=None, timeout=5):
    """Makes one call to an HTTP address; returns the status and the body, or (0, reason)."""
    host, port = address.rsplit(":", 1)
    try:
        reader, writer = await asyncio.wait_for(asyncio.open_connection(host, int(port)), timeout)
        data = body or b""
        writer.write(
            f"{method} {path} HTTP/1.1\r\nHost: {address}\r\nContent-Length: {len(data)}\r\n"
            "Connection: close\r\n\r\n".encode() + data
        )
        await writer.drain()
        answer = await asyncio.wait_for(reader.read(), timeout)
        writer.close()
    except (OSError, asyncio.TimeoutError, TimeoutError) as error:
        return 0, repr(error)
    head, _, text = answer.partition(b"\r\n\r\n")
    status = head.split(b" ")
    return (int(status[1]) if len(status) > 1 else 0), text.decode("utf-8", "replace")


def deploy_command(key):
    """Returns a command of the deploy file."""
    with open(os.path.join(REPOSITORY, "deploy", "balancer.toml"), encoding="utf-8") as file:
        found = re.search(rf'^{key} = "([^"]*)"', file.read(), re.MULTILINE)
    if not found:
        raise NotRun(f"no command {key} in the deploy file")
    return found.group(1)


def settings(classes=None, balancers=3, zones=("here",), **changes):
    """Settings of a small deployment, with the figures of the chat deployment."""
    classes = classes or [chat_class()]
    value = {
        "balancers": balancers, "index": 0, "my_zone": 0, "zones": list(zones), "weights": "silent",
        "discovery": "subscribe", "classes": classes,
        "extra": {"groups": False, "tells_delay": True, "tells_load": True,
                  "message_aim": [100000 for _ in classes]},
        "allowed": {"connect_timeout": 250000, "max_attempts": 3, "retry_after": True,
                    "max_retry_after": 1000000, "probes": False, "may_tell": False},
        "obligations": {"must_ask_in": 10000000, "cold": 8500000, "cold_from": 0.41, "fall_multiple": 4.0,
                        "overload_for": 1500000, "stop_sending_within": 500000},
    }
    for key, change in changes.items():
        value[key] = {**value[key], **change} if isinstance(change, dict) else change
    return value


def chat_class(name="chat", **changes):
    return {"name": name, "aim": 300000, "give_up": 1200000, "worth": 2.0, "semantics": "retryable",
            "group": "all", "window": 5000000, **changes}


class Node:
    """A process of a node, started with the command `run` of the deploy file."""

    def __init__(self, case, name, config, listen=None, admin=None, tmp=None, cluster=None, log=None):
        self.case, self.name = case, name
        self.listen = listen or f"127.0.0.1:{free_port()}"
        self.admin = admin or f"127.0.0.1:{free_port()}"
        self.tmp = tmp or case.folder(f"tmp-{name}")
        self.config = config
        self.cluster = cluster
        self.log = log or os.path.join(case.work, f"{name}-{self.admin.rsplit(':', 1)[1]}.log")
        self.process = None

    def write_config(self, path):
        with open(f"{path}.new", "w", encoding="utf-8") as file:
            json.dump(self.config, file)
        os.rename(f"{path}.new", path)

    async def start(self):
        path = os.path.join(self.case.work, f"{self.name}.json")
        self.config = {**self.config, "name": self.name, "listen": self.listen, "seed": new_id()}
        self.config_path = path
        self.write_config(path)
        command = deploy_command("run")
        if self.cluster:
            command += f" --cluster {self.cluster}"
        environment = {
            "PATH": os.environ.get("PATH", ""), "TMPDIR": self.tmp, "ROUTER_NAME": self.name,
            "ROUTER_LISTEN": self.listen, "ROUTER_DISCOVERY": self.config["discovery"], "ROUTER_CONFIG": path,
            "ROUTER_ADMIN_ADDR": self.admin,
        }
        log = open(self.log, "w", encoding="utf-8")
        self.process = await asyncio.create_subprocess_exec(
            "/bin/sh", "-c", command, cwd=REPOSITORY, env=environment, stdout=log, stderr=log)
        self.case.processes.append(self.process)
        self.case.record(f"node {self.name} started pid={self.process.pid} listen={self.listen}")
        return self

    def successor(self):
        """Returns a second process of the same node, with another operators' address and all else the same."""
        return Node(self.case, self.name, self.config, self.listen, None, self.tmp, self.cluster)

    def signal(self, number):
        self.case.record(f"node {self.name} pid={self.process.pid} gets {signal.Signals(number).name}")
        self.process.send_signal(number)

    async def ready(self, timeout=10):
        end = time.monotonic() + timeout
        while time.monotonic() < end:
            status, _ = await http(self.admin, "GET", "/control/ready", timeout=1)
            if status == 200:
                self.case.record(f"node {self.name} pid={self.process.pid} says ready")
                return True
            if self.process.returncode is not None:
                return False
            await asyncio.sleep(0.02)
        return False

    async def must_be_ready(self, timeout=10):
        if not await self.ready(timeout):
            raise NotRun(f"node {self.name} did not get ready")

    async def ended(self, timeout):
        try:
            await asyncio.wait_for(self.process.wait(), timeout)
            return True
        except (asyncio.TimeoutError, TimeoutError):
            return False

    async def call(self, method, path, body=None):
        status, text = await http(self.admin, method, path, body)
        self.case.record(f"operator {self.name} {method} {path} -> {status} {text.strip()[:160]!r}")
        return status, text


class Case:
    """One run of a case: its work folder, its record and the processes that it started."""

    def __init__(self, folder):
        self.record = Record(os.path.join(folder, "record.txt"))
        self.work = tempfile.mkdtemp(prefix="alderstile-case-")
        self.processes = []

    def folder(self, name):
        path = os.path.join(self.work, name)
        os.makedirs(path, exist_ok=True)
        return path

    async def end(self):
        for process in self.processes:
            if process.returncode is None:
                try:
                    process.send_signal(signal.SIGCONT)
                    process.kill()
                except ProcessLookupError:
                    pass
        for process in self.processes:
            await process.wait()
        if os.environ.get("KEEP_LOGS"):
            print(f"logs: {self.work}", file=sys.stderr)
        else:
            shutil.rmtree(self.work, ignore_errors=True)


def run_case(play, limit=110):
    """Plays a case and exits with its result: `play` returns the breaches that it saw."""
    folder = os.path.dirname(os.path.abspath(sys.argv[0]))

    async def main():
        case = Case(folder)
        try:
            breaches = await asyncio.wait_for(play(case), limit)
        except NotRun as error:
            case.record(f"could not run: {error}")
            print(f"could not run: {error}")
            return NOT_RUN
        except (asyncio.TimeoutError, TimeoutError):
            case.record("could not run: the time was over")
            print("could not run: the time was over")
            return NOT_RUN
        except Exception as error:
            # A fault of the script or of its surroundings is no breach.
            case.record(f"could not run: {error!r}")
            print(f"could not run: {error!r}")
            return NOT_RUN
        finally:
            await case.end()
        for breach in breaches:
            case.record(f"BROKEN {breach}")
            print(f"BROKEN {breach}")
        if not breaches:
            case.record("held")
            print("held")
        return BROKEN if breaches else HELD

    sys.exit(asyncio.run(main()))


class Cluster:
    """Files of a small cluster: three voters, and further nodes; `[control]` with the default times."""

    def __init__(self, case, names, voters=3, **control):
        self.case, self.names = case, names
        member_ports = free_ports(len(names), socket.SOCK_DGRAM)
        control_ports = free_ports(len(names), socket.SOCK_DGRAM)
        self.members = dict(zip(names, member_ports))
        self.controls = dict(zip(names, control_ports))
        self.voters = names[:voters]
        self.keys = [os.urandom(32).hex()]
        self.control = control

    def path(self, name):
        return os.path.join(self.case.work, f"{name}.toml")

    def write(self, name, keys=None):
        quoted = ", ".join(f'"127.0.0.1:{self.controls[voter]}"' for voter in self.voters)
        lines = [
            'name = "edge"', f'listen = "127.0.0.1:{self.members[name]}"',
            "seeds = [%s]" % ", ".join(f'"127.0.0.1:{self.members[seed]}"' for seed in self.voters),
            "keys = [%s]" % ", ".join(f'"{key}"' for key in keys or self.keys),
            "[control]", f'listen = "127.0.0.1:{self.controls[name]}"', f"voters = [{quoted}]",
        ]
        if name in self.voters:
            lines.append(f'state_dir = "{self.case.folder("state-" + name)}"')
        lines += [f"{key} = {json.dumps(value)}" for key, value in self.control.items()]
        with open(self.path(name), "w", encoding="utf-8") as file:
            file.write("\n".join(lines) + "\n")
        return self.path(name)

    async def begin_voter(self, node):
        """Runs `alderstile settings init` once for a voter, before its very first start."""
        config = os.path.join(self.case.work, f"{node.name}-init.json")
        with open(config, "w", encoding="utf-8") as file:
            json.dump({**node.config, "name": node.name, "listen": node.listen}, file)
        process = await asyncio.create_subprocess_exec(
            os.path.join(REPOSITORY, "target", "release", "alderstile"), "settings", "init", "--config", config,
            "--cluster", node.cluster, stdout=asyncio.subprocess.PIPE, stderr=asyncio.subprocess.STDOUT)
        output, _ = await process.communicate()
        if process.returncode != 0:
            raise NotRun(f"settings init failed: {output.decode()[:200]}")


async def settings_status(node):
    status, text = await http(node.admin, "GET", "/settings")
    return json.loads(text) if status == 200 else {}


async def propose(case, node, document, timeout=15):
    """Proposes a document at a node as an operator does, until a version is agreed."""
    end = time.monotonic() + timeout
    while time.monotonic() < end:
        status = await settings_status(node)
        if "known" in status:
            code, text = await node.call("POST", f"/settings/after/{status['known']}", json.dumps(document).encode())
            if code == 200:
                return int(text)
        await asyncio.sleep(0.3)
    raise NotRun("no version was agreed")


async def in_force(nodes, version, timeout=15):
    """Waits until a version counts at all these nodes."""
    end = time.monotonic() + timeout
    while time.monotonic() < end:
        standings = [await settings_status(node) for node in nodes]
        if all(s.get("in_force") == version and s.get("standing") == "counts" for s in standings):
            return
        await asyncio.sleep(0.05)
    raise NotRun(f"version {version} is not in force: {standings}")


async def start_fleet(case, names, hosts, voters=3, host_type=Host, **control):
    """Starts discovery, hosts, and nodes that go by agreed settings; the first nodes are the voters."""
    discovery = Discovery(case.record)
    await discovery.start()
    stand_ins = {}
    for name in hosts:
        stand_ins[name] = await host_type(name, case.record).start()
        discovery.put(name, stand_ins[name].dial)
    cluster = Cluster(case, names, voters, **control)
    nodes = []
    for index, name in enumerate(names):
        config = {"discovery": discovery.address, "limits": {"sockets": 1024},
                  "settings": {**settings(), "index": index}, "known": discovery.whole()}
        node = Node(case, name, config, cluster=cluster.write(name))
        if name in cluster.voters:
            await cluster.begin_voter(node)
        nodes.append(node)
    for node in nodes:
        await node.start()
    for node in nodes:
        await node.must_be_ready()
    return discovery, stand_ins, cluster, nodes


def document(hosts_out, **allowed):
    """Returns a document of agreed settings: those of the nodes' files, with changes."""
    agreed = {k: v for k, v in settings().items() if k not in ("my_zone", "index")}
    agreed["allowed"] = {**agreed["allowed"], **allowed}
    return {"settings": agreed, "hosts_out": hosts_out}
