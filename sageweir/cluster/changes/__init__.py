"""Staged rollouts of rules, shard maps and programs across the fleet.

Modules without I/O: register (replicated decisions on the voters' disks), plan (stages), gate (canary analysis) with
history, engine (state machine of the lease holder, role `changer`), follower (each member), document (rules), program,
and forms (message formats). service connects them to disk, network, exchange and operators.
"""
