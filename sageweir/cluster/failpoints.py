"""Failpoints: named places in the code at which the laboratory injects one fault.

Active only where deploy/cluster.json names a file of faults; otherwise `no_failpoint` is used, which does nothing. The
file's `point` arms one by its name and the number of the pass at which the fault occurs: {"arm": 3, "name": "send Put",
"number": 2, "kind": "lost"}. A new value of `arm` resets the counts. With an empty kind, passes are only counted.
With "slow_disk": true, all writes to the disk are slow.
"""

from __future__ import annotations

import errno
import logging
import os
import signal
import time
from collections import Counter
from collections.abc import Callable
from pathlib import Path

import orjson

log = logging.getLogger("sageweir.cluster")
SLOW_DISK = "slow disk"
SLOW_WRITE_S = 0.4
FAULT_KINDS = ("crash before", "crash after", "lost", "doubled", "late", "disk", "stopped")
Failpoint = Callable[[str], str]  # takes a failpoint's name, returns the kind of the fault due there, or ""


def no_failpoint(name: str) -> str:
    return ""


class Failpoints:
    """Counts the passes of each failpoint, and triggers the armed fault once."""

    def __init__(self, path: Path) -> None:
        self._path, self._file_version = path, (-1, -1)
        self.arm_number, self.fault = 0, ("", 0, "")
        self.counts: Counter[str] = Counter()
        self.hit = ""
        self._slow_disk = False

    def __call__(self, name: str) -> str:
        self._reload_if_changed()
        return self._armed_fault(name) or (SLOW_DISK if self._slow_disk and name.endswith("'s disk") else "")

    def _armed_fault(self, name: str) -> str:
        if not self.arm_number:
            return ""
        self.counts[name] += 1
        fault_name, number, kind = self.fault
        if self.hit or name != fault_name or self.counts[name] != number:
            return ""
        self.hit = f"{kind} at {name} {number}"
        log.warning("failpoint triggered: fault=%s", self.hit)
        if kind == "crash before":
            os.kill(os.getpid(), signal.SIGKILL)
        elif kind == "stopped":
            os.kill(os.getpid(), signal.SIGSTOP)
        return kind

    def _reload_if_changed(self) -> None:
        try:
            status = os.stat(self._path)
            if (version := (status.st_mtime_ns, status.st_ino)) == self._file_version:
                return
            faults = orjson.loads(self._path.read_bytes())
            raw = faults.get("point") or {"arm": 0}
            slow_disk = bool(faults.get("slow_disk", False))
            arm_number = int(raw["arm"])
            fault = str(raw.get("name", "")), int(raw.get("number", 0)), str(raw.get("kind", ""))
        except (OSError, ValueError, KeyError, TypeError, AttributeError):
            return
        self._file_version, self._slow_disk = version, slow_disk
        if arm_number != self.arm_number:
            self.arm_number, self.fault, self.hit = arm_number, fault, ""
            self.counts.clear()

    def show(self) -> dict[str, object]:
        """State for the laboratory."""
        return {"arm": self.arm_number, "hit": self.hit, "counts": dict(self.counts)}


def write_with_fault(kind: str, write: Callable[[], None]) -> None:
    """Write to the disk subject to a fault: the write may fail, or be slow. Raises OSError."""
    if kind == "disk":
        raise OSError(errno.EIO, os.strerror(errno.EIO))
    if kind == SLOW_DISK:
        time.sleep(SLOW_WRITE_S)
    write()


def operation_done(kind: str) -> None:
    """To be called when the operation after a failpoint is done: the fault `crash after` ends the process here."""
    if kind == "crash after":
        os.kill(os.getpid(), signal.SIGKILL)


def send_with_fault(kind: str, send: Callable[[], None], schedule: Callable[[Callable[[], None]], object]) -> None:
    """Send a message subject to a fault: it may be lost, doubled, or delayed through `schedule`."""
    if kind == "late":
        schedule(send)
    elif kind != "lost":
        send()
    if kind == "doubled":
        send()
    operation_done(kind)
