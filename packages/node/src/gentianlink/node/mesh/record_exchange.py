"""Spread records of nodes and targets over links."""

from gentianlink.node.mesh.convert import decode_node, decode_target, encode_records


class RecordExchange:
    """What is done with the frames about nodes and targets.

    Parameters
    ----------
    membership : Membership
        Nodes and targets.
    """

    def __init__(self, membership):
        self._membership = membership

    @property
    def own_record(self):
        """Record of this node."""
        return self._membership.own_record

    @property
    def digest(self):
        """Digest of all records held."""
        return self._membership.digest

    def open_link(self, record, link):
        """Take in a new neighbour's record and send it all records."""
        self._membership.merge([record], [], link.peer_id)
        self._send_all(link)

    def handle_digest(self, digest, link):
        """Send all records to a neighbour that holds other ones."""
        if digest != self._membership.digest:
            self._send_all(link)

    def handle_records(self, records, link):
        """Take in statements of a neighbour."""
        nodes = [decode_node(message) for message in records.nodes]
        targets = [decode_target(message) for message in records.targets]
        self._membership.merge(nodes, targets, link.peer_id)

    def _send_all(self, link):
        nodes = self._membership.nodes.values()
        link.send(encode_records(nodes, self._membership.targets.values()))

    def spread(self, links, nodes, targets, source):
        """Send news about nodes and targets to all neighbours but the source.

        Parameters
        ----------
        links : iterable of Link
            Links to all neighbours.
        nodes : list of NodeRecord
            Records that changed.
        targets : list of TargetRecord
            Records that changed.
        source : str or None
            Neighbour that the news came from.
        """
        frame = encode_records(nodes, targets)
        for link in links:
            if link.peer_id != source:
                link.send(frame)
