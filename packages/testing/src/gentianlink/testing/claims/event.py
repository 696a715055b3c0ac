"""Pending operation of a simulated node."""

import asyncio

import attrs


@attrs.define(eq=False)
class Event:
    """Operation of a node that is pending until the schedule picks it."""

    node_id: str
    kind: str
    perform: object
    future: asyncio.Future
