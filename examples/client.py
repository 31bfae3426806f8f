"""A client: asks to be served, says a line every 2 s, and comes again when it is told to move.

An argument is its group, 16 hexadecimal digits."""

import random
import socket
import sys
import time

GROUP = f",g={sys.argv[1]}" if len(sys.argv) > 1 else ""


def once(lines):
    """Serves itself of one connection; true if it was told to move."""
    with socket.create_connection(("127.0.0.1", 9000), timeout=5) as connection:
        said = connection.makefile("rwb")

        def say(line):
            print(">", line, flush=True)
            said.write(f"{line}\r\n".encode())
            said.flush()

        say(f"OPEN {random.getrandbits(64):016x} 00000000000000aa c=chat,d=2000{GROUP}")
        for line in said:
            word = line.decode().strip()
            print("<", word, flush=True)
            if word == "MOVE":
                return True
            if word.startswith("UP") or word.startswith("M "):
                if not lines:
                    return False
                if not word.startswith("UP"):
                    time.sleep(2)
                say(f"M {lines.pop(0)}")
    return False


lines = list(range(1, 6))
try:
    while once(lines):
        time.sleep(0.5)
except OSError as error:
    print(f"no node: {error}")
