"""Changes of records as datagrams to all nodes of a data centre.

A node sends a change of its record to each node of its data centre. The nodes that are
linked to another data centre pass it on to that one, where the node that gets it sends
it to each node there. So a node gets a change once, and a change crosses to another
data centre once for each link between the two. Data centres of a few nodes are spared
the second step: each of their nodes gets the change from its node.

The datagrams are not acknowledged. An urgent change is sent twice; what is lost anyway
is found by the digests of the next exchange with any linked node.
"""

import asyncio
import collections
import random

import orjson

from gentianlink.core.field_checks import UNREADABLE, explain
from gentianlink.node.log import get_logger
from gentianlink.sidecar.datagrams.datagram_endpoint import (
    MAX_DATAGRAM_BYTES,
    encode_datagram,
)
from gentianlink.sidecar.exchange.peer_codec import encode_record, parse_record

_LOG = get_logger("peers")

SPREAD = "spread"
# Delay before the second datagram of an urgent change. A node that was busy when the
# first one came has read its socket again by then.
REPEAT_S = 0.06
# Delay of a record of another data centre: if the other end of the links between the
# two is first, it need not be sent again.
RELAY_DELAY_MS = 2.0, 10.0
MAX_RELAYED_BYTES = 1250
# Nodes of a data centre that get changes directly: few more bytes than over the links,
# and the wakes to pass them on cost more processor time than the datagrams.
MAX_DIRECT_NODES = 4


class RecordSpread:
    """Sends changes to the nodes of the data centre, and to linked ones of others.

    Parameters
    ----------
    directory : PeerDirectory
        Records of the nodes.
    datagrams : DatagramEndpoint
        Sends and receives datagrams.
    on_record : callable
        Called with each record that is newer than the stored one.
    """

    def __init__(self, directory, datagrams, on_record):
        self._directory = directory
        self._datagrams = datagrams
        self._on_record = on_record
        # Addresses of the linked nodes of large other data centres, and of all nodes of
        # small ones.
        self._far_addresses = ()
        self._direct_addresses = ()
        self._is_relay = True
        # Orders and encoded records of other data centres to be passed on, by name.
        self._relayed = {}
        self._timer = None
        datagrams.register(SPREAD, self._receive)

    def choose_addresses(self, chosen):
        """Choose the nodes of other data centres to which changes are sent.

        Parameters
        ----------
        chosen : iterable of PeerRecord
            Records of the linked nodes.
        """
        own_data_centre = self._directory.own.data_centre
        records = self._directory.get_live_records()
        counts = collections.Counter(record.data_centre for record in records)
        small = {name for name, count in counts.items() if count <= MAX_DIRECT_NODES}
        self._far_addresses = tuple(
            record.peer_address
            for record in chosen
            if record.data_centre not in small | {own_data_centre}
        )
        self._direct_addresses = tuple(
            record.peer_address
            for record in records
            if record.data_centre in small - {own_data_centre}
        )
        self._is_relay = counts[own_data_centre] + 1 > MAX_DIRECT_NODES

    def send_own(self, is_urgent):
        """Send this node's record.

        Parameters
        ----------
        is_urgent : bool
            Whether it is sent twice.

        Returns
        -------
        bool
            False if the record does not fit a datagram.
        """
        own = self._directory.own
        data = self._encode([encode_record(own).encode()])
        if len(data) > MAX_DATAGRAM_BYTES:
            return False
        self._send_all(data)
        if is_urgent:
            loop = asyncio.get_running_loop()
            loop.call_later(REPEAT_S, self._repeat, own, data)
        return True

    def _repeat(self, record, data):
        if record is self._directory.own:
            self._send_all(data)

    def _send_all(self, data):
        self._send_near(data)
        for address in self._far_addresses + self._direct_addresses:
            self._datagrams.send_data(address, data)

    def _send_near(self, data):
        data_centre = self._directory.own.data_centre
        for record in self._directory.get_live_records():
            if record.data_centre == data_centre:
                self._datagrams.send_data(record.peer_address, data)

    def _encode(self, records):
        parts = [orjson.Fragment(record) for record in records]
        return encode_datagram(SPREAD, [self._directory.own.node_id, parts])

    def _receive(self, message, sender):
        sender_id, records = message
        for values in records:
            self._take(values, sender_id)

    def _take(self, values, sender_id):
        # A record that is known already is not decoded.
        node_id, incarnation, sequence = values[:3]
        order = incarnation, sequence
        own = self._directory.own
        known = self._directory.get(node_id)
        if node_id == own.node_id:
            return
        if known is not None and order <= known.order:
            if self._relayed and not self._is_far(sender_id):
                relayed_order, _ = self._relayed.get(node_id, (None, None))
                if relayed_order is not None and order >= relayed_order:
                    del self._relayed[node_id]
                    if not self._relayed and self._timer is not None:
                        self._timer.cancel()
                        self._timer = None
            return
        try:
            record = parse_record(values)
        except UNREADABLE as error:
            _LOG.warning("record of a node unreadable", why=explain(error))
            return
        self._on_record(record)
        if record.data_centre == own.data_centre:
            if self._far_addresses:
                data = self._encode([orjson.dumps(values)])
                for address in self._far_addresses:
                    self._datagrams.send_data(address, data)
        elif self._is_relay and self._is_far(sender_id):
            self._relayed[node_id] = order, orjson.dumps(values)
            if self._timer is None:
                delay_s = random.uniform(*RELAY_DELAY_MS) / 1000
                loop = asyncio.get_running_loop()
                self._timer = loop.call_later(delay_s, self._relay)

    def _is_far(self, node_id):
        record = self._directory.get(node_id)
        own_data_centre = self._directory.own.data_centre
        return record is not None and record.data_centre != own_data_centre

    def _relay(self):
        self._timer = None
        records, size = [], 0
        for _, data in self._relayed.values():
            if size + len(data) > MAX_RELAYED_BYTES:
                self._send_near(self._encode(records))
                records, size = [], 0
            records.append(data)
            size += len(data)
        if records:
            self._send_near(self._encode(records))
        self._relayed.clear()
