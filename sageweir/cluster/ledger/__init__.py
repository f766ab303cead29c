"""Fleet-wide call counts: established calls, set-ups and busy lines of each called number, and of each tenant.

Data flow: account (counts of one member, by epoch) -> sender -> messages -> owner (sums of one shard, readable as of a
vector of epochs) -> reading (questions with merged results, and dual reads while the shard map changes). shards holds
the shard map, watch evaluates dual reads. Only service does I/O.
"""
