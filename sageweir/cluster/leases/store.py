"""A voter's state on disk: one small file with a checksum, replaced by each write.

The disk may lose or revert writes. What it holds is used only if no voter kept its terms in memory, and new terms then
start far above it (TERM_JUMP).
"""

from __future__ import annotations

import logging
import os
import time
import zlib
from dataclasses import dataclass, field
from pathlib import Path

import msgspec

from sageweir.cluster.leases.messages import Name, Term, VoterAddresses

log = logging.getLogger("sageweir.cluster")


class PersistedState(msgspec.Struct, frozen=True, rename={"voters": "electors"}):
    """A voter's persisted state: terms by role, the voter list in force, and the next list if it accepted one."""

    terms: dict[Name, Term] = {}
    version: int = 0
    voters: dict[str, str] = {}
    accepted: tuple[int, VoterAddresses] | None = None


@dataclass(slots=True)
class VoterStore:
    """path: the file; None: nothing is persisted. writes, last_write_ms: completed writes, for operators."""

    path: Path | None
    writes: int = field(default=0)
    last_write_ms: float = field(default=0.0)

    def read(self) -> PersistedState | None:
        """Returns the persisted state; None if there is no file or it is damaged."""
        if self.path is None:
            return None
        try:
            data = self.path.read_bytes()
            if int.from_bytes(data[:4], "big") != zlib.crc32(data[4:]):
                raise ValueError("checksum mismatch")
            return msgspec.msgpack.decode(data[4:], type=PersistedState)
        except FileNotFoundError:
            return None
        except (OSError, ValueError, msgspec.MsgspecError) as error:
            log.warning("the voter's state file is ignored: file=%s why=%s", self.path, error)
            return None

    def write(self, state: PersistedState) -> None:
        """Replaces the file and syncs it and its directory before it returns. Raises OSError."""
        if self.path is None:
            return
        began = time.monotonic()
        body = msgspec.msgpack.encode(state)
        temporary = self.path.with_suffix(".new")
        with temporary.open("wb") as file:
            file.write(zlib.crc32(body).to_bytes(4, "big") + body)
            file.flush()
            os.fsync(file.fileno())
        os.replace(temporary, self.path)
        directory = os.open(self.path.parent, os.O_RDONLY)
        try:
            os.fsync(directory)
        finally:
            os.close(directory)
        self.writes += 1
        self.last_write_ms = (time.monotonic() - began) * 1000
