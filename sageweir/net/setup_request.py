"""Reads and checks the fields of a caller's set-up. Pure."""

from __future__ import annotations

from sageweir.attempts import Request
from sageweir.messages import Message, parse_pairs

MAX_CLASS_CHARS = 256  # as many as the other process of an upgrade accepts
# Names and ranges of the figures in `extras` that are checked; others are passed on unread.
EXTRA_RANGES = {"dest": (-1.0, 65535.0), "width": (1.0, 64.0), "via": (-1.0, 65535.0), "again": (0.0, 1.0)}


def read_request(message: Message, max_left_ms: float) -> Request | str:
    """The request of a set-up message, or the reason why it is none."""
    service_class = message.fields.get("class", "")
    if not service_class:
        return "a set-up needs 'class'"
    if len(service_class) > MAX_CLASS_CHARS:
        return f"'class' must have at most {MAX_CLASS_CHARS} characters, got {len(service_class)}"
    try:
        left_ms = float(message.fields["left"])
    except (KeyError, ValueError):
        return f"'left' must be milliseconds, got {message.fields.get('left')!r}"
    if not 0 <= left_ms <= max_left_ms:  # nor what is no number
        return f"'left' must be from 0 to {max_left_ms:.0f} milliseconds, got {left_ms!r}"
    text = message.fields.get("extras", "")
    extras = parse_pairs(text)
    if text and len(extras) != len(text.strip(";").split(";")):
        return f"'extras' must be figures, got {text!r:.60}"
    for name, (least, most) in EXTRA_RANGES.items():
        figure = extras.get(name, least)
        if not (least <= figure <= most and figure.is_integer()):
            return f"'extras': '{name}' must be a whole number from {least:.0f} to {most:.0f}, got {figure!r}"
    return Request(
        message.call,
        service_class,
        left_ms,
        message.fields.get("key", ""),
        int(extras.get("dest", -1.0)),
        extras.get("again", 0.0) == 1.0,
        message.description,
        message.fields.get("tenant", ""),
    )
