"""Start two toy servers and a controller, make one call, print what the caller sees, and stop them.

python examples/try_it.py
"""

from __future__ import annotations

import json
import os
import socket
import subprocess
import sys
import time
from pathlib import Path

HERE = Path(__file__).resolve().parent


def connect(port: int) -> socket.socket:
    """Connect once something listens there."""
    for _ in range(100):
        try:
            return socket.create_connection(("127.0.0.1", port), timeout=10)
        except ConnectionRefusedError:
            time.sleep(0.1)
    raise SystemExit(f"nothing listens on port {port}")


def main() -> None:
    """One call from set-up to release."""
    toy = str(HERE / "toy_server.py")
    toys = [subprocess.Popen([sys.executable, toy, port]) for port in ("4001", "4002")]
    for port in (4001, 4002):
        connect(port).close()
    controller = subprocess.Popen(
        [sys.executable, "-m", "sageweir"], cwd=HERE.parent, env=os.environ | {"NODE_CONFIG": str(HERE / "config.json")}
    )
    try:
        with connect(3868) as caller:
            set_up = {
                "msg": "open",
                "sid": "9b1f03aa5c7e2d41",
                "text": "an offer",
                "attrs": {"class": "status-check", "left": "1500", "key": "1", "extras": "dest:0"},
            }
            caller.sendall(json.dumps(set_up).encode() + b"\n")
            lines = caller.makefile()
            for _ in range(2):
                print("caller got", lines.readline().rstrip(), flush=True)
    finally:
        for process in (controller, *toys):
            process.terminate()
        for process in (controller, *toys):
            process.wait()


if __name__ == "__main__":
    main()
