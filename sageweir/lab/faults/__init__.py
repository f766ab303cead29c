"""Faults between processes: seeded scripts, relays on each link, processes and clocks; shared with the simulator."""
