"""Fleet membership and the services built on it, loaded only where deploy/cluster.json exists.

Data flows from `link` (UDP datagrams, TCP streams) through `wire` (encoding) to `membership` (pure protocol logic) and
on to `member`, which notifies the rest of the process.
"""
