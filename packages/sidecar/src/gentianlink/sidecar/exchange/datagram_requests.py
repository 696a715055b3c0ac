"""Requests and answers of the state exchange as datagrams."""

import asyncio

import orjson

REQUEST = "ask"
ANSWER = "answer"
MAX_BODY_BYTES = 1300
# A busy node may take some tens of milliseconds. A lost node is detected later by this.
ANSWER_S = 0.15


class DatagramRequests:
    """Sends short messages to other nodes and awaits their answers.

    Parameters
    ----------
    datagrams : DatagramEndpoint
        Sends and receives datagrams.
    answer : callable
        Takes the values of a message of another node; returns the encoded answer, or
        None if it has to be requested over HTTP.
    """

    def __init__(self, datagrams, answer):
        self._datagrams = datagrams
        self._answer = answer
        self._number = 0
        self._waiting = {}
        datagrams.register(REQUEST, self._receive_request)
        datagrams.register(ANSWER, self._receive_answer)

    async def send(self, address, body):
        """Send a message.

        Parameters
        ----------
        address : str
            IP address and UDP port of the other node.
        body : bytes
            Encoded message.

        Returns
        -------
        list or None
            Values of the answer; an empty list if the message or its answer is too long
            for a datagram; None if no answer came in time.
        """
        if len(body) > MAX_BODY_BYTES:
            return []
        loop = asyncio.get_running_loop()
        self._number += 1
        number = self._number
        future = self._waiting[number] = loop.create_future()
        timer = loop.call_later(ANSWER_S, self._finish, number, None)
        self._datagrams.send(address, REQUEST, [number, orjson.Fragment(body)])
        try:
            return await future
        finally:
            timer.cancel()
            self._waiting.pop(number, None)

    def _finish(self, number, values):
        future = self._waiting.pop(number, None)
        if future is not None and not future.done():
            future.set_result(values)

    def _receive_request(self, message, sender):
        number, values = message
        body = self._answer(values)
        if body is not None and len(body) > MAX_BODY_BYTES:
            body = None
        answer = None if body is None else orjson.Fragment(body)
        self._datagrams.send(sender, ANSWER, [number, answer])

    def _receive_answer(self, message, sender):
        number, values = message
        self._finish(number, values or [])
