"""Recovery of a controller after a power loss: which persisted state to trust, and the staged return of service.

No I/O; not used by the running program yet (docs/design/recovery.md).
"""
