"""The thin layer through which all file work goes, so that the laboratory can put a lying disk in its place."""

from __future__ import annotations

import fcntl
import os
from pathlib import Path
from typing import Protocol


class LockedError(OSError):
    """Another process has the directory."""


class Files(Protocol):
    """One directory. All raise OSError."""

    def names(self) -> list[str]: ...

    def read(self, name: str) -> bytes: ...

    def append(self, name: str, data: bytes) -> None:
        """At the end of the file, which is made where it is not there."""

    def sync(self, name: str) -> None:
        """All that was appended is on the disk when this returns."""

    def write(self, name: str, data: bytes) -> None:
        """A whole new file; not on the disk yet."""

    def cut(self, name: str, size: int) -> None:
        """Keep so many bytes."""

    def rename(self, old: str, new: str) -> None: ...

    def remove(self, name: str) -> None: ...

    def sync_names(self) -> None:
        """New, renamed and removed names are on the disk when this returns."""

    def close(self) -> None: ...


class RealFiles:
    """A directory of this machine, locked for this process."""

    def __init__(self, folder: Path) -> None:
        folder.mkdir(parents=True, exist_ok=True)
        self.folder, self._open = folder, dict[str, int]()
        self._lock = os.open(folder / "lock", os.O_RDWR | os.O_CREAT, 0o644)
        try:
            fcntl.flock(self._lock, fcntl.LOCK_EX | fcntl.LOCK_NB)
        except OSError:
            os.close(self._lock)
            raise LockedError(f"{folder} is in use by another process") from None

    def names(self) -> list[str]:
        return sorted(entry.name for entry in os.scandir(self.folder) if entry.name != "lock")

    def read(self, name: str) -> bytes:
        return (self.folder / name).read_bytes()

    def append(self, name: str, data: bytes) -> None:
        left = memoryview(data)
        while left:  # a write may take less than it was given
            left = left[os.write(self._at(name), left) :]

    def _at(self, name: str) -> int:
        if name not in self._open:
            self._open[name] = os.open(self.folder / name, os.O_WRONLY | os.O_CREAT | os.O_APPEND, 0o644)
        return self._open[name]

    def sync(self, name: str) -> None:
        os.fsync(self._at(name))

    def write(self, name: str, data: bytes) -> None:
        self._forget(name)
        (self.folder / name).write_bytes(data)

    def cut(self, name: str, size: int) -> None:
        os.truncate(self.folder / name, size)

    def rename(self, old: str, new: str) -> None:
        self._forget(old)
        self._forget(new)
        os.replace(self.folder / old, self.folder / new)

    def remove(self, name: str) -> None:
        self._forget(name)
        os.unlink(self.folder / name)

    def _forget(self, name: str) -> None:
        if name in self._open:
            os.close(self._open.pop(name))

    def sync_names(self) -> None:
        folder = os.open(self.folder, os.O_RDONLY)
        try:
            os.fsync(folder)
        finally:
            os.close(folder)

    def close(self) -> None:
        for name in list(self._open):
            self._forget(name)
        os.close(self._lock)
