"""An example client: sends a request, sends a line every 2 s, and reconnects when it is asked to migrate (MOVE).

The optional argument is the group of the client, 16 hexadecimal digits."""

import random
import socket
import sys
import time

GROUP_PARAMETER = f",g={sys.argv[1]}" if len(sys.argv) > 1 else ""


def run_connection(lines):
    """Runs one connection until it ends; returns whether it ended with MOVE."""
    with socket.create_connection(("127.0.0.1", 9000), timeout=5) as connection:
        stream = connection.makefile("rwb")

        def send(line):
            print(">", line, flush=True)
            stream.write(f"{line}\r\n".encode())
            stream.flush()

        send(f"OPEN {random.getrandbits(64):016x} 00000000000000aa c=chat,d=2000{GROUP_PARAMETER}")
        for line in stream:
            reply = line.decode().strip()
            print("<", reply, flush=True)
            if reply == "MOVE":
                return True
            if reply.startswith("UP") or reply.startswith("M "):
                if not lines:
                    return False
                if not reply.startswith("UP"):
                    time.sleep(2)
                send(f"M {lines.pop(0)}")
    return False


lines = list(range(1, 6))
try:
    while run_connection(lines):
        time.sleep(0.5)
except OSError as error:
    print(f"connection to the node failed: {error}")
