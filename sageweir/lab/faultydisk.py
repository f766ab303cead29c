"""A disk in memory that can lose its power at any operation, and lie: what the store's files are tried on."""

from __future__ import annotations

import errno
from dataclasses import dataclass, field
from random import Random

SECTOR = 512


class PowerCut(BaseException):
    """The power goes here; nothing catches it but the test."""


@dataclass(slots=True)
class _Inode:
    """A file's bytes as the system sees them, and as they are on the disk for sure."""

    data: bytearray = field(default_factory=bytearray)
    durable: bytes = b""


class FaultyDisk:
    """Files of one directory. What was not synced survives a power cut by chance: any sectors of it, any prefix of the
    directory's changes.

    lies: syncs report and do nothing. cut_at: the power goes at that operation, counted from 1; half of what the
    operation would do may be done. fails: (operation, errno) pairs. reorders: changes of names survive in any choice.
    """

    def __init__(
        self,
        draw: Random,
        lies: bool = False,
        cut_at: int = 0,
        fails: tuple[tuple[int, int], ...] = (),
        reorders: bool = False,
    ) -> None:
        self.draw, self.lies, self.cut_at, self.fails, self.reorders = draw, lies, cut_at, dict(fails), reorders
        self.operations = 0
        self._names: dict[str, _Inode] = {}
        self._durable_names: dict[str, _Inode] = {}
        self._pending: list[tuple[str, str, _Inode | None]] = []  # name, what to it, inode

    # Files

    def names(self) -> list[str]:
        return sorted(self._names)

    def read(self, name: str) -> bytes:
        return bytes(self._inode(name).data)

    def append(self, name: str, data: bytes) -> None:
        inode = self._names.get(name) or self._make(name)
        if self._operation():
            inode.data += data[: self.draw.randrange(len(data) + 1)]
            raise PowerCut
        inode.data += data

    def sync(self, name: str) -> None:
        cut = self._operation()
        if not cut and not self.lies:
            inode = self._inode(name)
            inode.durable = bytes(inode.data)
        if cut:
            raise PowerCut

    def write(self, name: str, data: bytes) -> None:
        if self._operation():
            if self.draw.random() < 0.5:
                self._make(name).data += data[: self.draw.randrange(len(data) + 1)]
            raise PowerCut
        self._make(name).data += data

    def cut(self, name: str, size: int) -> None:
        if self._operation():
            raise PowerCut
        del self._inode(name).data[size:]

    def rename(self, old: str, new: str) -> None:
        if self._operation():
            raise PowerCut
        inode = self._names.pop(old)
        self._names[new] = inode
        self._pending += [(old, "gone", None), (new, "there", inode)]

    def remove(self, name: str) -> None:
        if self._operation():
            raise PowerCut
        del self._names[name]
        self._pending.append((name, "gone", None))

    def sync_names(self) -> None:
        if self._operation():
            raise PowerCut
        if not self.lies:
            self._pending.clear()
            self._durable_names = dict(self._names)

    def close(self) -> None:
        pass

    def _make(self, name: str) -> _Inode:
        inode = self._names[name] = _Inode()
        self._pending.append((name, "there", inode))
        return inode

    def _inode(self, name: str) -> _Inode:
        if name not in self._names:
            raise FileNotFoundError(errno.ENOENT, "no such file", name)
        return self._names[name]

    def _operation(self) -> bool:
        """One more; whether the power goes now."""
        self.operations += 1
        if (code := self.fails.get(self.operations)) is not None:
            raise OSError(code, errno.errorcode[code])
        return self.operations == self.cut_at

    # The power cut, and worse

    def after_power_cut(self) -> FaultyDisk:
        """The disk as it is found when power is back; honest from then on."""
        found = FaultyDisk(self.draw)
        names = dict(self._durable_names)
        kept = self._pending if self.reorders else self._pending[: self.draw.randrange(len(self._pending) + 1)]
        for name, what, inode in kept:
            if self.reorders and self.draw.random() < 0.5:
                continue
            if inode is not None and what == "there":
                names[name] = inode
            else:
                names.pop(name, None)
        for name, inode in names.items():
            data = self._survives(inode)
            found._names[name] = found._durable_names[name] = _Inode(bytearray(data), data)
        return found

    def _survives(self, inode: _Inode) -> bytes:
        """What was synced, and of the rest any sectors: one that is lost leaves zeros, or ends the file."""
        data, durable = bytes(inode.data), inode.durable
        if data == durable:
            return data
        common = next(
            (i for i, (a, b) in enumerate(zip(data, durable, strict=False)) if a != b), min(len(data), len(durable))
        )
        end = self.draw.randrange(common, len(data) + 1)
        out = bytearray(data[:end])
        for at in range(common - common % SECTOR, end, SECTOR):
            if self.draw.random() < 0.2:
                begin, stop = max(common, at), min(end, at + SECTOR)
                out[begin:stop] = bytes(stop - begin)
        return bytes(out)

    def spoil(self, name: str, at: int, data: bytes) -> None:
        """Bytes that changed by themselves, or came from elsewhere."""
        inode = self._inode(name)
        inode.data[at : at + len(data)] = data
        inode.durable = bytes(inode.data)

    def copy(self) -> FaultyDisk:
        """The same, apart: for a directory that is put back later."""
        found = FaultyDisk(self.draw)
        for name, inode in self._names.items():
            found._names[name] = found._durable_names[name] = _Inode(bytearray(inode.data), bytes(inode.data))
        return found
