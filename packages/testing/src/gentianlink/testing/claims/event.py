"""Something that waits until the schedule lets it happen."""

import asyncio

import attrs


@attrs.define(eq=False)
class Event:
    """Something that waits until the schedule lets it happen."""

    node_id: str
    kind: str
    perform: object
    future: asyncio.Future
