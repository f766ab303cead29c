"""Make one call to a controller's second address, as operators do.

    python -m sageweir.ask show-stat [HOST:PORT]

Without an address NODE_ADMIN_ADDR is called. Exit code 0: granted, or the figures; 1: FAILURE; 2: no answer.
"""

from __future__ import annotations

import os
import socket
import sys

TIMEOUT_S = 2.0  # answers are due within 1 s


def ask(address: str, call: str) -> str:
    """The whole reply. Raises OSError where none comes, ValueError where the address is none."""
    host, _, port = address.rpartition(":")
    with socket.create_connection((host.strip("[]"), int(port)), timeout=TIMEOUT_S) as sock:
        sock.sendall(call.encode() + b"\n")
        return sock.makefile().read()


def main(arguments: list[str]) -> int:
    """Run from the command line; the exit code."""
    if not 1 <= len(arguments) <= 2:
        print("usage: python -m sageweir.ask CALL [HOST:PORT]", file=sys.stderr)
        return 2
    address = arguments[1] if len(arguments) == 2 else os.environ.get("NODE_ADMIN_ADDR", "")
    try:
        reply = ask(address, arguments[0])
    except (OSError, ValueError) as error:
        print(f"no answer from {address or 'nowhere: NODE_ADMIN_ADDR is not set'}: {error}", file=sys.stderr)
        return 2
    print(reply, end="")
    return 0 if reply.startswith("SUCCESS") or reply.endswith("EOT\n") else 1


if __name__ == "__main__":
    sys.exit(main(sys.argv[1:]))
