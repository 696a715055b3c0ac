"""State of the exchange with one other node."""

import asyncio

from gentianlink.sidecar.exchange.peer_codec import FORM_DATAGRAMS

# Requests without an answer by datagrams after which a link does without them, and how
# many requests later they are tried again.
MAX_UNANSWERED = 2
TRIAL_PERIOD = 8


class PeerLink:
    """State of the exchange with one other node.

    Parameters
    ----------
    address : str
        IP address and TCP port of the node for the state exchange.
    node_id : str
        Name of the node.
    now_ms : float
        Current time on the monotonic clock in milliseconds.
    push : RecordPush, optional
        Sends changes as datagrams; without it they are sent by exchanges.
    """

    def __init__(self, address, node_id, now_ms, push=None):
        self.address = address
        self.wake = asyncio.Event()
        self.task = None
        self.node_id = node_id
        # Whether the node has ever answered.
        self.is_heard = False
        self.last_heard_ms = now_ms
        self.failures = 0
        self.acknowledged_order = None
        # The same as far as the node has said so itself; a reply that carried the
        # record may have been lost.
        self.confirmed_order = None
        # What has changed since the last message to the node, by name of the node that
        # it is about.
        self.records = {}
        self.lost = {}
        # Datagrams that are not acknowledged, by number, and the order of this node's
        # record in the latest one that has it.
        self.in_flight = {}
        self.pushed_order = None
        # Whether the next datagram has to be acknowledged.
        self.is_urgent = False
        # Requests in a row that datagrams did not answer although the node is there.
        self.unanswered = 0
        self._push = push
        # Whether an exchange is due although nothing has changed.
        self.is_due = False
        # Exchanges in a row without a change, by nodes that hold different records.
        self.mismatches = 0
        self.is_synchronised = False
        # Newest form of messages that the node may accept.
        self.form = FORM_DATAGRAMS

    @property
    def accepts_datagrams(self):
        """Whether the node accepts datagrams; it is not known at first contact."""
        return (
            self._push is not None
            and self.is_synchronised
            and not self.failures
            and self.form == FORM_DATAGRAMS
        )

    @property
    def takes_datagrams(self):
        """Whether changes are sent as datagrams."""
        return self.accepts_datagrams and self.unanswered < MAX_UNANSWERED

    @property
    def is_datagram_due(self):
        """Whether the next request is sent as a datagram."""
        is_trial = self.unanswered % TRIAL_PERIOD == 0
        return self.accepts_datagrams and (self.takes_datagrams or is_trial)

    def note_failure(self):
        """Count an unanswered exchange.

        The node may have restarted, so the next message carries the whole record, and
        the records of both nodes are compared again.
        """
        self.failures += 1
        self.acknowledged_order = None
        self.is_synchronised = False
        self.form = FORM_DATAGRAMS
        self.take_back_flights()

    def take_back_flights(self):
        """Send again with the next message what was not acknowledged."""
        for flight in self.in_flight.values():
            for node_id, record in flight.records.items():
                pending = self.records.get(node_id)
                if pending is None or pending.order < record.order:
                    self.records[node_id] = record
            self.lost = flight.lost | self.lost
        self.in_flight.clear()
        self.pushed_order = None

    def note_known(self, node_id, order):
        """Record that the node has a record, because it has sent it.

        Parameters
        ----------
        node_id : str
            Name of the node that the record is about.
        order : tuple of int
            Incarnation and sequence of the record.

        Returns
        -------
        bool
            Whether the same record is under way to the node.
        """
        pending = self.records.get(node_id)
        if pending is not None and pending.order <= order:
            del self.records[node_id]
        is_under_way = False
        for number, flight in list(self.in_flight.items()):
            record = flight.records.get(node_id)
            if record is not None and record.order <= order:
                is_under_way = is_under_way or record.order == order
                del flight.records[node_id]
                if not (flight.records or flight.lost or flight.own_order):
                    del self.in_flight[number]
        return is_under_way

    def add_record(self, record, is_urgent=True):
        """Send a record with the next message, soon unless the node is lost."""
        self.records[record.node_id] = record
        self.send_soon(is_urgent)

    def add_lost(self, lost):
        """Send a report with the next message, soon unless the node is lost."""
        self.lost[lost.node_id] = lost
        self.send_soon(True)

    def send_soon(self, is_urgent):
        """Send what has changed soon, unless the node is lost."""
        if self.takes_datagrams:
            self.is_urgent = self.is_urgent or is_urgent
            self._push.schedule(is_urgent)
        else:
            self.wake_unless_failing()

    def wake_unless_failing(self):
        """Send what has changed soon, unless the node is lost."""
        if not self.failures:
            self.wake.set()

    def wake_for_exchange(self):
        """Begin an exchange soon, also if nothing has changed."""
        self.is_due = True
        self.wake.set()

    def note_heard(self, node_id, acknowledged_order, now_ms):
        """Record that a message of the node has arrived.

        Parameters
        ----------
        node_id : str
            Name of the node.
        acknowledged_order : tuple of int
            Incarnation and sequence of this node's record that the other node has.
        now_ms : float
            Current time on the monotonic clock in milliseconds.
        """
        self.node_id = node_id
        self.is_heard = True
        self.acknowledged_order = self.confirmed_order = acknowledged_order
        if self.pushed_order is not None and acknowledged_order < self.pushed_order:
            # The datagram was lost.
            self.pushed_order = None
        self.last_heard_ms = now_ms
        self.failures = 0
