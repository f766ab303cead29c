"""All sizes, counts and times that bound the program, in one type that is filled at start."""

from __future__ import annotations

from dataclasses import dataclass


@dataclass(frozen=True, slots=True)
class Limits:
    """Bounds; times are milliseconds."""

    # Messages and buffers
    message_bytes: int = 16 * 1024  # one message, either side
    read_bytes: int = 64 * 1024  # one read of the feed's connection
    write_bytes: int = 256 * 1024  # unsent bytes after which a connection counts as dead
    feed_event_bytes: int = 4 * 1024 * 1024  # one event of the control feed
    head_bytes: int = 16 * 1024  # an HTTP head
    handover_bytes: int = 4 * 1024 * 1024  # a message between an old process and its successor, or what waits for it
    admin_bytes: int = 256  # an operator's call
    # Counts
    max_attempts: int = 6  # set-ups of one call
    caller_faults: int = 20  # bad messages in a row, after which a caller's connection is closed
    caller_connections: int = 400  # from callers, over all fronts; they hold at most a third of the sockets
    accept_at_once: int = 32  # of callers' connections, in one turn of the loop
    backlog: int = 512  # connections that wait to be accepted
    handover_unidentified: int = 4  # connections at the meeting place that have not said who they are
    feed_requests: int = 3  # to the control feed that wait for their answer
    proxy_connections: int = 64  # that ask for endpoint discovery
    admin_connections: int = 16  # of operators, set aside beside callers'
    server_connections: int = 8  # to one clearing server
    spread_connections: int = 4  # of these, over which set-ups are spread
    spare_server_connections: int = 248  # to all servers: no more than one to each is opened from then on
    replacement_dials: int = 16  # at once, to servers whose connections are all silent, beyond that
    leaving_connections: int = 64  # of callers, that are being closed
    leaving_turns: int = 64  # of the loop, in which what lies unread on a connection is read before it is closed
    send_deferrals: int = 3  # of one attempt, for input of its caller that was not read yet
    open_calls: int = 20_000  # requests waited for at once
    open_request_bytes: int = 16 * 1024 * 1024  # what callers have said of all open calls
    kept_attempts: int = 2048  # attempts that are over and still remembered, on one connection
    kept_ids: int = 8192  # calls that are over and still remembered, to tell what comes late from the unknown
    # Times
    dial_ms: float = 500.0  # a connection that is not up by then has failed
    sweep_ms: float = 250.0  # between looks at callers' connections
    away_sweep_ms: float = 50.0  # the same while clients are sent away
    first_word_ms: float = (
        2400.0  # a caller that has said nothing whole by then has its connection closed; some take 2 s
    )
    caller_half_ms: float = 2400.0  # a caller's message that is not whole so long after its first byte
    idle_ms: float = 10_000.0  # a caller's connection with no call on it; callers close theirs after 4 s
    redial_ms: float = 400.0  # between dials that only wait for news of standing calls
    guard_ms: float = 300.0  # no send of a call so long after an attempt in doubt
    answer_margin_ms: float = 8.0  # the exchange itself fails a call that is unanswered so near its end
    half_ms: float = 100.0  # a clearing server's message that is not whole so long after its first byte
    feed_silence_ms: float = 2500.0  # the feed comments each second; after this much silence it is asked once more
    feed_answer_ms: float = 30_000.0  # a request to the feed without an answer is given up after that
    reload_retry_ms: float = 200.0  # between readings of a changed configuration that has a fault
    reload_for_ms: float = 2000.0  # how long these go on
    feed_retry_ms: float = 100.0  # between dials of the feed, after the first at once
    release_retry_ms: float = 100.0  # between tries to tell a caller that its call is over
    release_for_ms: float = 8000.0  # how long these go on
    quiet_ms: float = 2000.0  # a server with standing calls that says nothing so long is dialled anew, to see
    vanished_ms: float = 6000.0  # and one that is silent so long, and can't be dialled, has cut its calls
    gone_silence_ms: float = 2000.0  # calls at a server that is gone from the list and silent so long are cut
    stop_open_ms: float = 800.0  # connections and requests are still taken so long after SIGTERM
    stop_standing_ms: float = 3550.0  # and calls that stand are waited for so long
    stop_longest_ms: float = 3000.0  # a longer deadline counts as this long where the platform kills a process it stops
    stop_longest_shared_ms: float = 5000.0  # the same in an upgrade, where another process goes on
    stop_spare_ms: float = 700.0  # the platform kills so long after the longest deadline has passed, or later
    stop_end_ms: float = 150.0  # of it for the end itself: calls are cut, both ends are told
    stop_spare_end_ms: float = 20.0  # of the end itself, for leaving the process
    max_left_ms: float = 90_000.0  # the longest time that a caller may wait for an answer
    handover_ms: float = 300.0  # a new process waits so long for what an old one has learned
    admin_line_ms: float = 800.0  # an operator's call that is not whole by then is refused
    drain_settle_ms: float = 500.0  # the front asks each 100 ms, and sends new connections for 200 ms more
    drain_refuse_ms: float = 1800.0  # new set-ups on connections that never run empty are refused from then on
    stop_killed_ms: float = 3700.0  # the platform kills so long after SIGTERM, or later
    fresh_ms: float = 300.0  # a new connection may be silent so long while clients are sent away
    linger_ms: float = 1000.0  # the peer's close is awaited so long after ours
    unsent_ms: float = 100.0  # a set-up that a server has not read by then is not left to it
    burst_ms: float = 20.0  # since a full read: more of a caller's input, or its close, may be on its way
    stalled_ms: float = 50.0  # a loop held up longer than this takes what it reads to have waited that long
    stop_quiet_ms: float = 60.0  # a process that stops ends once nothing new came for so long
    may_test: bool = False  # whether the platform lets clearing servers be tested
    test_ms: float = 400.0  # a test of a clearing server without an answer has failed
    tests: int = 16  # that are out to one server
    # The fleet's common things (sageweir/cluster)
    cluster_exchanges: int = 16  # full exchanges at once, and as many asked for
    cluster_exchange_ms: float = 2000.0  # one of them
    cluster_buffer_bytes: int = 256 * 1024  # datagrams that wait, either way
    cluster_listen_ms: float = 200.0  # between tries for a port that another process still has
    cluster_writes: int = 64  # of an elector that wait for its disk
    cluster_audit_bytes: int = 64 * 1024 * 1024  # of the file that keeps all changes
    # The control service's streams (sageweir/control)
    xds_streams: int = 2000  # open at once
    xds_node_streams: int = 64  # of one node id
    xds_silent_streams: int = 256  # of these, that have not asked for anything yet
    xds_request_bytes: int = 256 * 1024  # one request
    xds_names: int = 1000  # subscribed on one stream, for each type
    xds_name_chars: int = 256
    xds_node_chars: int = 256
    xds_unconfirmed: int = 2  # responses of one type on one stream that wait for their ACK: one read, one pending
    xds_beats: int = 3  # of these and heartbeats, before there are no more heartbeats
    xds_bodies: int = 64  # encoded responses that are kept, over all streams
    xds_first_ms: float = 5000.0  # a stream that has asked for nothing by then is closed
    xds_hold_ms: float = 2000.0  # a route waits so long for a cluster that the proxy does not ask for
    xds_stall_ms: float = 10_000.0  # a write that is not taken, or a response without ACK, so long closes a stream
    xds_look_ms: float = 100.0  # between looks at warmth, pauses and stalled streams
    feed_first_ms: float = 5000.0  # a service that starts waits so long for the feed before it serves `known`
