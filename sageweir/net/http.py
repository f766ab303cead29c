"""HTTP/1.1 heads, chunked bodies and server-sent events. Pure parsers that are fed bytes as they come."""

from __future__ import annotations

from collections.abc import Iterator
from dataclasses import dataclass, field


class HttpError(ValueError):
    """The peer does not speak HTTP/1.1 as it should."""


@dataclass(frozen=True, slots=True)
class Head:
    """The first line's three parts, and the header fields by lower-case name."""

    first: tuple[str, str, str]
    fields: dict[str, str] = field(default_factory=dict)

    def tokens(self, name: str) -> list[str]:
        """A comma-separated field's parts, in lower case."""
        return [part.strip().lower() for part in self.fields.get(name, "").split(",") if part.strip()]


def parse_head(text: bytes) -> Head:
    """A head without its empty line."""
    try:
        lines = text.decode("latin-1").split("\r\n")
        first = lines[0].split(" ", 2)
    except IndexError:
        raise HttpError("no first line") from None
    if len(first) < 2 or not all(first[:2]):
        raise HttpError(f"bad first line {lines[0]!r:.60}")
    fields: dict[str, str] = {}
    for line in lines[1:]:
        name, colon, value = line.partition(":")
        if not colon or not name or name != name.strip():
            raise HttpError(f"bad header line {line!r:.60}")
        key = name.lower()
        fields[key] = f"{fields[key]}, {value.strip()}" if key in fields else value.strip()
    return Head((first[0], first[1], first[2] if len(first) > 2 else ""), fields)


class HeadReader:
    """Collects a head of bounded size; what follows it is left in rest."""

    def __init__(self, max_bytes: int) -> None:
        self._max, self.rest = max_bytes, bytearray()

    def feed(self, data: bytes | memoryview) -> Head | None:
        self.rest += data
        end = self.rest.find(b"\r\n\r\n")
        if end > self._max or (end < 0 and len(self.rest) > self._max):
            raise HttpError(f"head longer than {self._max} bytes")
        if end < 0:
            return None
        head = parse_head(bytes(self.rest[:end]))
        del self.rest[: end + 4]
        return head


class Chunks:
    """Undoes the chunked transfer coding."""

    def __init__(self, max_line: int = 1024) -> None:
        self._max, self._rest, self._left, self.over = max_line, bytearray(), 0, False

    def feed(self, data: bytes | memoryview) -> bytes:
        self._rest += data
        out = bytearray()
        while self._rest and not self.over:
            if self._left > 2:
                part = bytes(self._rest[: self._left - 2])
                out += part
                del self._rest[: len(part)]
                self._left -= len(part)
                if self._left > 2:
                    break
            if self._left:  # the line end after a chunk
                cut = min(self._left, len(self._rest))
                del self._rest[:cut]
                self._left -= cut
                continue
            end = self._rest.find(b"\r\n")
            if end < 0:
                if len(self._rest) > self._max:
                    raise HttpError("chunk head too long")
                break
            try:
                size = int(bytes(self._rest[:end]).split(b";")[0].strip(), 16)
            except ValueError:
                raise HttpError("bad chunk head") from None
            if size < 0:
                raise HttpError("bad chunk head")
            del self._rest[: end + 2]
            self.over = size == 0
            self._left = size + 2
        return bytes(out)


@dataclass(frozen=True, slots=True)
class ServerEvent:
    """One server-sent event."""

    id: str
    name: str
    data: str


class EventStream:
    """Server-sent events; comments give nothing."""

    def __init__(self, max_bytes: int) -> None:
        self._max, self._rest = max_bytes, bytearray()
        self._id, self._name, self._data, self._size = "", "", list[str](), 0

    def feed(self, data: bytes | memoryview) -> Iterator[ServerEvent]:
        self._rest += data
        if len(self._rest) + self._size > self._max:
            raise HttpError(f"event longer than {self._max} bytes")
        while True:
            end = self._rest.find(b"\n")
            if end < 0:
                return
            line = self._rest[:end].rstrip(b"\r").decode("utf-8", "replace")
            del self._rest[: end + 1]
            if not line:
                if self._data:
                    yield ServerEvent(self._id, self._name or "message", "\n".join(self._data))
                self._name, self._data, self._size = "", [], 0
                continue
            name, _, value = line.partition(":")
            value = value.removeprefix(" ")
            if name == "data":
                self._data.append(value)
                self._size += len(value)
            elif name == "id" and "\0" not in value:
                self._id = value
            elif name == "event":
                self._name = value
