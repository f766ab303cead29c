"""The fleet's common things, on only where deploy/cluster.json exists.

Data's way: link (datagrams, streams) -> wire (bytes) -> view (pure decisions) -> member (what others are told).
"""
