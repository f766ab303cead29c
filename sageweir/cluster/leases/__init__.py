"""Leader leases: for each role one holder at a time, granted by a majority of voters and fenced by increasing terms.

A role is a job that one member does for all members. What its holder sends in the role (an act) carries the term.
voter (grants terms) and candidate (requests, holds and transfers leases) are pure; fence guards what holders act on.
Safety depends on the voters alone, never on the fleet's membership.
"""
