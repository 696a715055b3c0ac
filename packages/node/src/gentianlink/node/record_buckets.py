"""Digests over the live records of nodes and targets, by bucket.

Only records of live nodes count, so that the digests of two nodes don't differ because
one of them has already removed a tombstone that the other still keeps.
"""

from gentianlink.ops.membership import (
    BUCKETS,
    compute_bucket,
    compute_node_hash,
    compute_target_hash,
)

BUCKET_DIGEST_MASK = 2**32 - 1


class RecordBuckets:
    """Hashes of live records in buckets by name of the node."""

    def __init__(self):
        self._records = [{} for _ in range(BUCKETS)]
        self._digests = [0] * BUCKETS
        self._digest = 0
        self._count = 0

    @property
    def digest(self):
        """64-bit digest of all records; equal for equal sets of records."""
        return self._digest

    @property
    def digests(self):
        """32-bit digest of each bucket."""
        return [digest & BUCKET_DIGEST_MASK for digest in self._digests]

    @property
    def count(self):
        """Number of records."""
        return self._count

    def add_node(self, record):
        """Add the record of a live node."""
        self._add(record, compute_node_hash(record))

    def add_target(self, record):
        """Add the record of a target of a live node."""
        self._add(record, compute_target_hash(record))

    def remove_node(self, record):
        """Remove the record of a node if it is present."""
        self._remove(record, compute_node_hash(record))

    def remove_target(self, record):
        """Remove the record of a target if it is present."""
        self._remove(record, compute_target_hash(record))

    def get_records(self, bucket):
        """Return the records of a bucket by their hashes."""
        return self._records[bucket]

    def _add(self, record, record_hash):
        bucket = compute_bucket(record.node_id)
        if record_hash in self._records[bucket]:
            return
        self._records[bucket][record_hash] = record
        self._count += 1
        self._digests[bucket] ^= record_hash
        self._digest ^= record_hash

    def _remove(self, record, record_hash):
        bucket = compute_bucket(record.node_id)
        if self._records[bucket].pop(record_hash, None) is None:
            return
        self._count -= 1
        self._digests[bucket] ^= record_hash
        self._digest ^= record_hash
