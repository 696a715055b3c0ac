"""Measure memory and processor time of the membership at a given fleet size.

Run ``python -m gentianlink.testing.membership_sizes --help``.
"""

import os
import time

import attrs
import typer

from gentianlink.core.catalogue import Catalogue
from gentianlink.core.entry import Entry
from gentianlink.core.node_record import NodeRecord
from gentianlink.core.service import Service
from gentianlink.core.target_record import TargetRecord
from gentianlink.core.target_state import TargetState
from gentianlink.core.work_class import WorkClass
from gentianlink.node.membership import Membership
from gentianlink.node.mesh import mesh_pb2
from gentianlink.node.mesh.convert import decode_records, encode_records
from gentianlink.node.table_builder import TableBuilder
from gentianlink.ops.build_table import build_table
from gentianlink.ops.choose_neighbours import LinkNumbers, NeighbourChooser
from gentianlink.ops.membership import BUCKETS
from gentianlink.testing.membership_experiment import read_resident_mb

INCARNATION = 1_790_000_000_000


def make_records(nodes, services, regions=6, data_centres=19):
    """Return the records of a large fleet with one target beside each node.

    Parameters
    ----------
    nodes, services, regions, data_centres : int
        Numbers of nodes, services, regions and data centres.

    Returns
    -------
    nodes : list of NodeRecord
        Records of the nodes.
    targets : list of TargetRecord
        Records of the targets.
    """
    node_records = []
    target_records = []
    for number in range(nodes):
        data_centre = number % data_centres
        region = f"region-{data_centre % regions}"
        node_id = f"node-{number:05d}"
        address = f"10.{data_centre}.{number // 250}.{number % 250}"
        location = (region, f"{region}-{data_centre}", address, 7000, 7001, 7002)
        node_records.append(NodeRecord(node_id, INCARNATION, 1, *location))
        names = (f"service-{number % services}", f"target-{number:05d}", node_id)
        target_records.append(
            TargetRecord(*names, INCARNATION, 1, TargetState.READY, 10)
        )
    return node_records, target_records


def make_catalogue(services, entries_each=2):
    """Return a catalogue with the given numbers of services and entries per service."""
    names = [f"service-{number}" for number in range(services)]
    entries = tuple(
        Entry(f"{name}-{number}", "owner", name, WorkClass.READ, f"/{name}/{number}")
        for name in names
        for number in range(entries_each)
    )
    return Catalogue(1, tuple(Service(name, "owner") for name in names), entries)


def measure_ms(work, repetitions):
    """Return the mean processor time per call of a function in milliseconds."""
    started_s = time.process_time()
    for number in range(repetitions):
        work(number)
    return 1000 * (time.process_time() - started_s) / repetitions


def main(nodes: int = 4700, services: int = 120):
    """Measure memory and processor time of the membership at a given fleet size."""
    before_mb = read_resident_mb(os.getpid())
    node_records, target_records = make_records(nodes, services)
    own_record = node_records[0]
    membership = Membership(own_record, lambda *change: None)
    started_s = time.process_time()
    for record, target in zip(node_records, target_records, strict=True):
        membership.merge([record], [] if record is own_record else [target], 0)
    merged_ms = 1000 * (time.process_time() - started_s)
    records = 2 * nodes
    resident_mb = read_resident_mb(os.getpid()) - before_mb
    print(f"{nodes} nodes, {services} services, {records} records")
    print(f"memory of all records      {resident_mb:8.2f} MB")
    print(f"memory of a record         {1e6 * resident_mb / records:8.0f} bytes")
    print(f"merge of a new record      {merged_ms / records:8.4f} ms")
    _measure_updates(membership, target_records)
    _measure_table(membership, target_records, make_catalogue(services))
    _measure_periodic(membership, own_record)


def _measure_updates(membership, target_records):
    updates = [attrs.evolve(record, sequence=2) for record in target_records[1:]]
    merge_ms = measure_ms(
        lambda number: membership.merge([], [updates[number]], 0), 2000
    )
    duplicate_ms = measure_ms(
        lambda number: membership.merge([], [updates[number]], 0), 2000
    )
    frame = encode_records([], updates[:1])
    encode_ms = measure_ms(lambda number: encode_records([], [updates[number]]), 2000)
    decode_ms = measure_ms(lambda _: decode_records(frame.records), 2000)
    node_bytes = encode_records([membership.own_record], []).ByteSize()
    print(f"merge of a later record    {merge_ms:8.4f} ms")
    print(f"merge of a duplicate       {duplicate_ms:8.4f} ms")
    print(f"encoding of a record       {encode_ms:8.4f} ms")
    print(f"decoding of a record       {decode_ms:8.4f} ms")
    print(f"node record on the wire    {node_bytes:8d} bytes")
    print(f"target record on the wire  {frame.ByteSize():8d} bytes")


def _measure_table(membership, target_records, catalogue):
    nodes, targets = membership.nodes, membership.targets
    builder = TableBuilder(membership)
    builder.build(catalogue)

    def build_after_change(number):
        record = attrs.evolve(target_records[number + 1], sequence=3)
        membership.merge([], [record], 0)
        builder.build(catalogue)

    whole_ms = measure_ms(lambda _: build_table(catalogue, nodes, targets), 10)
    change_ms = measure_ms(build_after_change, 500)
    print(f"whole table                 {whole_ms:8.3f} ms")
    print(f"merge and table of a change {change_ms:8.3f} ms")


def _measure_periodic(membership, own_record):
    chooser = NeighbourChooser(own_record, LinkNumbers(2, 1, 1))
    live = membership.get_live_nodes()
    first_ms = measure_ms(lambda _: chooser.choose(live), 1)
    again_ms = measure_ms(lambda _: chooser.choose(live), 20)
    live_ms = measure_ms(lambda _: membership.get_live_nodes(), 100)
    check_ms = measure_ms(membership.check, 1000)
    digests = mesh_pb2.RecordDigests(digests=membership.buckets.digests)
    largest = max(len(membership.buckets.get_records(n)) for n in range(BUCKETS))
    print(f"first choice of neighbours {first_ms:8.3f} ms")
    print(f"next choice                {again_ms:8.3f} ms")
    print(f"list of live nodes         {live_ms:8.3f} ms")
    print(f"check of timers            {check_ms:8.4f} ms")
    print(f"digests of all buckets     {digests.ByteSize():8d} bytes")
    print(f"records in largest bucket  {largest:8d}")


if __name__ == "__main__":
    typer.run(main)
