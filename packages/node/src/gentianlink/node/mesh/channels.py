"""Cache of gRPC channels to nodes that are not neighbours."""

import collections

import grpc

from gentianlink.node.background import start_task
from gentianlink.node.mesh import mesh_pb2_grpc

MAX_CHANNELS = 64
CHANNEL_OPTIONS = [
    ("grpc.use_local_subchannel_pool", 1),
    ("grpc.enable_retries", 0),
]


class Channels:
    """LRU cache of at most ``MAX_CHANNELS`` channels, keyed by address."""

    def __init__(self):
        self._channels = collections.OrderedDict()

    def get_stub(self, node):
        """Return a stub for calls to a node, opening a channel if none is cached.

        Parameters
        ----------
        node : NodeRecord
            The node.

        Returns
        -------
        mesh_pb2_grpc.MeshStub
            The stub.
        """
        address = f"{node.address}:{node.mesh_port}"
        channel = self._channels.pop(address, None)
        if channel is None:
            channel = grpc.aio.insecure_channel(address, options=CHANNEL_OPTIONS)
        self._channels[address] = channel
        if len(self._channels) > MAX_CHANNELS:
            self.drop_address(next(iter(self._channels)))
        return mesh_pb2_grpc.MeshStub(channel)

    def drop(self, node):
        """Close the channel to a node, for example after a failed call."""
        self.drop_address(f"{node.address}:{node.mesh_port}")

    def drop_address(self, address):
        """Close the channel to an address."""
        channel = self._channels.pop(address, None)
        if channel is not None:
            start_task(channel.close(), f"close channel {address}")

    def close(self):
        """Close all channels."""
        for address in list(self._channels):
            self.drop_address(address)
