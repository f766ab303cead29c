"""The wires: pure parsers, and the connections that callers, clearing servers and the feed use."""
