"""A log that lasts: checksummed, chained segments, snapshots, a recovery that gives a clean prefix and says why.

frames (bytes; pure), files (the thin layer under all file work), log (what is written when, and what is believed after
a restart). Used by nothing in `run` yet.
"""
