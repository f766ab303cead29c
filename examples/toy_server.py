"""A toy clearing server: takes each set-up after a moment, and ends the call a little later.

python examples/toy_server.py 4001
"""

from __future__ import annotations

import asyncio
import json
import sys

ANSWER_S, HOLD_S = 0.02, 2.0


async def talk(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
    """Serve one connection until it ends."""
    calls: dict[str, asyncio.Task[None]] = {}

    def say(**message: object) -> None:
        writer.write(json.dumps(message).encode() + b"\n")

    async def call(sid: str, text: str) -> None:
        await asyncio.sleep(ANSWER_S)
        say(msg="ready", sid=sid, attrs={}, text=f"answer to {text}")
        await asyncio.sleep(HOLD_S)
        say(msg="close", sid=sid, attrs={"load": "idle:100;circuits:100;reduce:0"}, code=16)

    say(msg="status", sid="0" * 16, attrs={"load": "idle:100;circuits:100;reduce:-1"})
    async for line in reader:
        message = json.loads(line)
        print("toy server got", line.decode().rstrip(), flush=True)
        sid = message["sid"]
        if message["msg"] == "open":
            calls[sid] = asyncio.create_task(call(sid, message.get("text", "")))
        elif message["msg"] == "close" and sid in calls:
            calls.pop(sid).cancel()
            say(msg="closed", sid=sid, attrs={})
    writer.close()


async def main(port: int) -> None:
    """Listen on loopback until stopped."""
    server = await asyncio.start_server(talk, "127.0.0.1", port)
    async with server:
        await server.serve_forever()


if __name__ == "__main__":
    asyncio.run(main(int(sys.argv[1]) if len(sys.argv) > 1 else 4001))
