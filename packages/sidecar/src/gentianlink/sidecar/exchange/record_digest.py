"""Digests by which two nodes find out whether they hold the same records."""

import hashlib
import zlib

# Records of a bucket are sent when its digests differ; with some thousand nodes a
# bucket has some tens of them.
BUCKETS = 64
DIGEST_BYTES = 6


def get_bucket(node_id):
    """Return the number of the bucket of a node's record."""
    return zlib.crc32(node_id.encode()) % BUCKETS


class RecordDigest:
    """Digests of a set of records, kept up to date with each change."""

    def __init__(self):
        self._buckets = [0] * BUCKETS
        self._whole = 0
        # Number of the bucket and digest of each record, by name of the node.
        self._parts = {}

    @property
    def buckets(self):
        """Digest of each bucket."""
        return tuple(self._buckets)

    @property
    def whole(self):
        """Digest of all records."""
        return self._whole

    def put(self, record):
        """Add a record in place of the one of the same node, if there is one."""
        node_id = record.node_id
        bucket, before = self._parts.get(node_id) or (get_bucket(node_id), 0)
        digest = _hash(f"{node_id} {record.incarnation} {record.sequence}")
        self._parts[node_id] = bucket, digest
        self._buckets[bucket] ^= before ^ digest
        self._whole ^= before ^ digest

    def remove(self, node_id):
        """Remove the record of a node."""
        bucket, digest = self._parts.pop(node_id)
        self._buckets[bucket] ^= digest
        self._whole ^= digest


def _hash(text):
    digest = hashlib.blake2b(text.encode(), digest_size=DIGEST_BYTES).digest()
    return int.from_bytes(digest)
