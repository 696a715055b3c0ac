"""Changes of records, sent to the linked nodes as datagrams.

A datagram carries records and reports on lost nodes to one node. If a change in it is
urgent, it has a number and is acknowledged. A record that both nodes send to each other
at the same time needs no acknowledgement. What is not acknowledged is sent again by the
next exchange over HTTP, which also finds out whether the other node is lost.
Changes that are not urgent are not acknowledged: they reach a node over several links,
and the digests of the next exchange show it if all of these datagrams were lost.
"""

import asyncio
import random

import attrs
import orjson

from gentianlink.core.field_checks import UNREADABLE, explain
from gentianlink.node.clock import get_monotonic_ms
from gentianlink.node.log import get_logger
from gentianlink.sidecar.exchange.peer_codec import (
    encode_record,
    parse_lost,
    parse_record,
)

_LOG = get_logger("peers")

NEWS = "news"
ACKNOWLEDGEMENT = "ack"
# Records in a datagram, in bytes; leaves room for the other fields.
MAX_RECORD_BYTES = 1250
MAX_LOST = 16
# Delay before a change is sent. Only work times and reachability are not urgent: they
# change at many nodes at once, and a later choice of targets by them does little harm.
URGENT_DELAY_MS = 5.0, 15.0
DELAY_MS = 20.0, 40.0
# Changes that are not urgent are sent together within this gap after the last ones.
GAP_MS = 100.0
# Time until an acknowledgement; a busy node may take some tens of milliseconds.
ACKNOWLEDGE_MS = 300.0


@attrs.define
class Flight:
    """Content of a datagram that is not acknowledged.

    Attributes
    ----------
    sent_ms : float
        Time at which it was sent, on the monotonic clock in milliseconds.
    records : dict of str to PeerRecord
        Records of other nodes, by name.
    lost : dict of str to LostNode
        Reports on lost nodes, by name.
    own_order : tuple of int or None
        Order of this node's record, None if the datagram does not have it.
    """

    sent_ms: float
    records: dict
    lost: dict
    own_order: tuple[int, int] | None = None


def is_urgent(before, record):
    """Return whether a change of a record has to reach the other nodes at once.

    Parameters
    ----------
    before : PeerRecord or None
        The record before, None if the node was unknown.
    record : PeerRecord
        The record.

    Returns
    -------
    bool
        False if only work times, reachability or heartbeats differ.
    """
    if before is None or before.target is None or record.target is None:
        return True
    if before.target is not record.target and (
        _clear_volatile(before.target) != _clear_volatile(record.target)
    ):
        return True
    return (before.incarnation, before.is_stopping, before.crashes) != (
        record.incarnation,
        record.is_stopping,
        record.crashes,
    )


def _clear_volatile(target):
    return (
        target.target_id,
        target.service,
        target.slots,
        target.state,
        target.started_ms,
        target.is_failing,
        target.version,
    )


class RecordPush:
    """Sends changes over the links whose other ends accept datagrams.

    Parameters
    ----------
    directory : PeerDirectory
        Records of the nodes.
    links : dict of str to PeerLink
        Links by address; kept up to date by its owner.
    datagrams : DatagramEndpoint
        Sends and receives datagrams.
    on_record : callable
        Called with a record that is newer than the stored one, and its link or None.
    on_lost : callable
        Called with a report on a lost node, and its link or None.
    """

    def __init__(self, directory, links, datagrams, on_record, on_lost):
        self._directory = directory
        self._links = links
        self._datagrams = datagrams
        self._on_record = on_record
        self._on_lost = on_lost
        self._timer = None
        self._due_s = 0.0
        self._is_check_due = False
        self._last_flush_ms = 0.0
        self._number = 0
        # Encoded records that are passed on with the next datagrams, by name, each with
        # its record.
        self._encoded = {}
        datagrams.register(NEWS, self._receive_news)
        datagrams.register(ACKNOWLEDGEMENT, self._receive_acknowledgement)

    def schedule(self, is_urgent):
        """Send what has changed soon.

        Parameters
        ----------
        is_urgent : bool
            Whether the change must not wait for others.
        """
        if is_urgent:
            delay_ms = random.uniform(*URGENT_DELAY_MS)
        else:
            gap_ms = self._last_flush_ms + GAP_MS - get_monotonic_ms()
            delay_ms = max(random.uniform(*DELAY_MS), gap_ms)
        loop = asyncio.get_running_loop()
        due_s = loop.time() + delay_ms / 1000
        if self._timer is not None:
            if due_s >= self._due_s:
                return
            self._timer.cancel()
        self._due_s = due_s
        self._timer = loop.call_later(delay_ms / 1000, self._flush)

    def _flush(self):
        self._timer = None
        self._last_flush_ms = get_monotonic_ms()
        own = self._directory.own
        for link in self._links.values():
            if link.takes_datagrams:
                self._send_changes(link, own)
                if link.in_flight and not self._is_check_due:
                    self._check_later()
        self._encoded.clear()

    def _send_changes(self, link, own):
        records = list(link.records.values())
        if own.order not in (link.acknowledged_order, link.pushed_order):
            records.append(own)
        if not records and not link.lost:
            return
        lost = list(link.lost.values())
        is_urgent = link.is_urgent
        link.records.clear()
        link.lost.clear()
        link.is_urgent = False
        packed, size = [], 0
        for record in records:
            data = self._encode(record)
            if len(data) > MAX_RECORD_BYTES:
                # Reports on many crashes; the next exchange over HTTP has room.
                if record is not own:
                    link.records[record.node_id] = record
                link.wake_for_exchange()
                continue
            if size + len(data) > MAX_RECORD_BYTES:
                self._send(link, packed, (), is_urgent)
                packed, size = [], 0
            packed.append((record, data))
            size += len(data)
        while len(lost) > MAX_LOST:
            self._send(link, (), lost[:MAX_LOST], True)
            del lost[:MAX_LOST]
        if lost and size > MAX_RECORD_BYTES // 2:
            self._send(link, (), lost, True)
            lost = ()
        if packed or lost:
            self._send(link, packed, lost, is_urgent)

    def _encode(self, record):
        known, data = self._encoded.get(record.node_id, (None, b""))
        if known is not record:
            data = encode_record(record).encode()
            self._encoded[record.node_id] = record, data
        return data

    def _send(self, link, packed, lost, is_urgent):
        own = self._directory.own
        has_own = bool(packed) and packed[-1][0] is own
        if has_own:
            link.pushed_order = own.order
        number = 0
        if is_urgent:
            number = self._number = self._number + 1
            link.in_flight[number] = Flight(
                self._last_flush_ms,
                {record.node_id: record for record, _ in packed if record is not own},
                {item.node_id: item for item in lost},
                own.order if has_own else None,
            )
        message = [
            own.node_id,
            number,
            [orjson.Fragment(data) for _, data in packed],
            [(item.node_id, item.order) for item in lost],
        ]
        self._datagrams.send(link.address, NEWS, message)

    def _receive_news(self, message, sender):
        node_id, number, records, lost = message
        link = self._links.get(sender)
        if link is not None:
            link.last_heard_ms = get_monotonic_ms()
        if self._directory.is_lost(node_id):
            # An exchange finds out whether the node is back.
            known = self._directory.get(node_id)
            if link is not None and known is not None:
                link.wake_for_exchange()
        is_crossing = not lost
        for values in records:
            if not self._take(values, link):
                is_crossing = False
        for values in lost:
            self._on_lost(parse_lost(values), link)
        if number and not is_crossing:
            self._datagrams.send(sender, ACKNOWLEDGEMENT, [number])

    def _take(self, values, link):
        """Store a record if it is newer; return whether the sender knows it was known.

        A record that is under way to the sender acknowledges the sender's one.
        """
        node_id, incarnation, sequence = values[:3]
        order = incarnation, sequence
        known = self._directory.get(node_id)
        if known is not None and order <= known.order:
            return link is not None and link.note_known(node_id, order)
        try:
            record = parse_record(values)
        except UNREADABLE as error:
            _LOG.warning("record of a node unreadable", why=explain(error))
            return False
        # Passed on as it came.
        self._encoded[node_id] = record, orjson.dumps(values)
        self._on_record(record, link)
        if self._timer is None:
            self._encoded.clear()
        return False

    def _receive_acknowledgement(self, message, sender):
        [number] = message
        link = self._links.get(sender)
        flight = None if link is None else link.in_flight.pop(number, None)
        if flight is not None and flight.own_order is not None:
            link.acknowledged_order = max(
                link.acknowledged_order or (0, 0), flight.own_order
            )
            link.confirmed_order = max(link.confirmed_order or (0, 0), flight.own_order)

    def _check_later(self):
        self._is_check_due = True
        asyncio.get_running_loop().call_later(ACKNOWLEDGE_MS / 1000, self._check)

    def _check(self):
        self._is_check_due = False
        sent_before_ms = get_monotonic_ms() - ACKNOWLEDGE_MS
        is_any_left = False
        for link in self._links.values():
            if not link.in_flight:
                continue
            if next(iter(link.in_flight.values())).sent_ms <= sent_before_ms + 1.0:
                link.take_back_flights()
                link.wake_for_exchange()
            else:
                is_any_left = True
        if is_any_left:
            self._check_later()
