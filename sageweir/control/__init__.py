"""The control service: serves load-balancing decisions to proxies over xDS v3.

Data flow: events of the control feed -> `fleet` (state) -> `shares` (decision) -> `pace` (when to push) ->
`resources` (shares as xDS resources) -> `snapshot` (one consistent version) -> `subscriptions` and `lease` (responses
due on one stream) -> `grpc_front` or `poll` (transport). `service` drives the steps up to the snapshot.
"""
