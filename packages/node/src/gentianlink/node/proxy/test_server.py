import asyncio

import pytest

from gentianlink.core.work_class import WorkClass

NOT_RUN = "not-run"
HOST = b"Host: h\r\n"


class TestCallServer:
    @pytest.mark.parametrize(
        ("request_bytes", "status", "reason"),
        [
            (b"GET /y HTTP/1.1\r\n" + HOST + b"\r\n", 404, "no-route"),
            (b"OPTIONS * HTTP/1.1\r\n" + HOST + b"\r\n", 400, "bad-request"),
            (b"CONNECT a:1 HTTP/1.1\r\n" + HOST + b"\r\n", 400, "bad-request"),
            (b"TRACE /x HTTP/1.1\r\n" + HOST + b"\r\n", 400, "bad-request"),
            (b"GET http://h/x HTTP/1.1\r\n" + HOST + b"\r\n", 400, "bad-request"),
            (b"GET /x HTTP/1.0\r\n" + HOST + b"\r\n", 400, "bad-request"),
            (b"GET /x HTTP/1.1\r\n\r\n", 400, "bad-request"),
            (b"GET /x HTTP/1.1\r\n" + HOST + HOST + b"\r\n", 400, "bad-request"),
            (b"nonsense\r\n\r\n", 400, "bad-request"),
            (b"GET /x HTTP/1.1\r\nbad header\r\n\r\n", 400, "bad-request"),
            (
                b"POST /x HTTP/1.1\r\n" + HOST + b"Content-Length: 1\r\n"
                b"Transfer-Encoding: chunked\r\n\r\n0\r\n\r\n",
                400,
                "bad-request",
            ),
            (
                b"POST /x HTTP/1.1\r\n" + HOST + b"Content-Length: 1\r\n"
                b"Content-Length: 2\r\n\r\nab",
                400,
                "bad-request",
            ),
            (
                b"POST /x HTTP/1.1\r\n" + HOST + b"Content-Length: -1\r\n\r\n",
                400,
                "bad-request",
            ),
            (
                b"POST /x HTTP/1.1\r\n" + HOST + b"Content-Length: +1\r\n\r\na",
                400,
                "bad-request",
            ),
            (
                b"POST /x HTTP/1.1\r\n" + HOST + b"Transfer-Encoding: xchunked\r\n\r\n",
                400,
                "bad-request",
            ),
            (
                b"POST /x HTTP/1.1\r\n" + HOST + b"Transfer-Encoding: chunked\r\n"
                b"\r\n0x1\r\na\r\n0\r\n\r\n",
                400,
                "bad-request",
            ),
            (
                b"POST /x HTTP/1.1\r\n"
                + HOST
                + b"Content-Length: 101\r\n\r\n"
                + b"a" * 101,
                413,
                "body-too-large",
            ),
            (
                b"POST /x HTTP/1.1\r\n" + HOST + b"Transfer-Encoding: chunked\r\n"
                b"\r\n70\r\n" + b"a" * 112 + b"\r\n0\r\n\r\n",
                413,
                "body-too-large",
            ),
            (
                b"GET /x HTTP/1.1\r\n" + HOST + b"A: " + b"a" * 40000,
                431,
                "bad-request",
            ),
            (
                b"GET /x HTTP/1.1\r\n"
                + HOST
                + b"X-Gentianlink-Deadline-Ms: -1\r\n\r\n",
                400,
                "bad-deadline",
            ),
            (
                b"GET /x HTTP/1.1\r\n"
                + HOST
                + b"X-Gentianlink-Deadline-Ms: 1e9\r\n\r\n",
                400,
                "bad-deadline",
            ),
            (
                b"GET /x HTTP/1.1\r\n" + HOST + b"X-Gentianlink-Deadline-Ms: 0\r\n\r\n",
                504,
                "deadline-passed",
            ),
            (
                b"GET /x HTTP/1.1\r\n" + HOST + b"X-Gentianlink-Target: t9\r\n\r\n",
                503,
                "wrong-node",
            ),
        ],
    )
    @pytest.mark.proves("not-run", "bad-input", "route")
    def test_request_that_cannot_be_served_gets_a_typed_refusal(
        self, tools, request_bytes, status, reason
    ):
        async def test(bench):
            node = await bench.start_simple(tools.echo_path, body_max_bytes=100)
            caller = await tools.caller.connect(node)
            caller.send(request_bytes)
            answer = await caller.read_answer()
            other = await tools.caller.connect(node)
            return answer, (await other.get("/x/after"))[2], bench.connections

        (got, headers, body), after, connections = tools.run(test)
        assert (got, headers["x-gentianlink-reason"]) == (status, reason)
        assert headers["x-gentianlink-outcome"] == NOT_RUN
        assert body == f"not-run: {reason}\n".encode()
        assert (after, connections) == (b"/x/after", 1)

    @pytest.mark.parametrize(
        ("key", "reason"),
        [(None, "key-required"), ("a b", "bad-key"), ("k" * 129, "bad-key")],
    )
    @pytest.mark.proves("at-most-once", "bad-input", "route")
    def test_at_most_once_work_needs_a_valid_key(self, tools, key, reason):
        async def test(bench):
            node = await bench.start_simple(
                tools.echo_path, work_class=WorkClass.AT_MOST_ONCE
            )
            caller = await tools.caller.connect(node)
            headers = {} if key is None else {"Idempotency_Key": key}
            return (await caller.get(**headers))[1]["x-gentianlink-reason"]

        assert tools.run(test) == reason

    @pytest.mark.proves("own-answer", "bad-input", "route")
    def test_pipelined_requests_are_answered_in_order(self, tools):
        async def test(bench):
            node = await bench.start_simple(tools.echo_path)
            caller = await tools.caller.connect(node)
            caller.send(
                b"".join(tools.make_request("GET", f"/x/{n}") for n in range(4))
            )
            return [(await caller.read_answer())[2] for _ in range(4)]

        assert tools.run(test) == [b"/x/0", b"/x/1", b"/x/2", b"/x/3"]

    def test_answer_to_head_has_no_body_and_keeps_the_connection(self, tools):
        async def test(bench):
            async def script(reader, writer, number):
                while True:
                    head, _ = await tools.read_request(reader)
                    answer = tools.make_answer(b"body")
                    is_head = head.startswith("HEAD")
                    writer.write(answer.removesuffix(b"body") if is_head else answer)

            caller = await tools.caller.connect(await bench.start_simple(script))
            caller.send(tools.make_request("HEAD", "/x"))
            head = await caller.read_answer(has_body=False)
            caller.send(tools.make_request("HEAD", "/y"))
            refused = await caller.read_answer(has_body=False)
            return head[0], refused[0], (await caller.get())[2], bench.connections

        assert tools.run(test) == (200, 404, b"body", 1)

    @pytest.mark.parametrize("status", ["204 No Content", "304 Not Modified"])
    def test_answer_without_body_is_relayed(self, tools, status):
        async def test(bench):
            async def script(reader, writer, number):
                while True:
                    await tools.read_request(reader)
                    writer.write(f"HTTP/1.1 {status}\r\n\r\n".encode())

            caller = await tools.caller.connect(await bench.start_simple(script))
            answers = [await caller.get() for _ in range(2)]
            return [item[0] for item in answers], bench.connections

        assert tools.run(test) == ([int(status[:3])] * 2, 1)

    def test_continue_is_sent_only_for_a_body_that_is_accepted(self, tools):
        async def test(bench):
            async def script(reader, writer, number):
                while True:
                    head, body = await tools.read_request(reader)
                    assert "expect" not in head.lower()
                    writer.write(tools.make_answer(body))

            node = await bench.start_simple(script, body_max_bytes=10)
            head = b"POST /x HTTP/1.1\r\nHost: h\r\nExpect: 100-continue\r\n"
            good = await tools.caller.connect(node)
            good.send(head + b"Content-Length: 2\r\n\r\n")
            first = await good.read_answer(has_body=False)
            good.send(b"hi")
            final = await good.read_answer()
            large = await tools.caller.connect(node)
            large.send(head + b"Content-Length: 11\r\n\r\n")
            return first[0], final[2], (await large.read_answer())[0]

        assert tools.run(test) == (100, b"hi", 413)

    def test_headers_of_answers_and_routing_are_not_forwarded(self, tools):
        async def test(bench):
            heads = []

            async def script(reader, writer, number):
                head, _ = await tools.read_request(reader)
                heads.append(head.lower())
                writer.write(tools.make_answer(b""))
                await reader.read()

            caller = await tools.caller.connect(await bench.start_simple(script))
            await caller.get(
                X_Gentianlink_Outcome="done",
                X_Gentianlink_Free_Slots="9",
                X_Gentianlink_Version="99",
                X_Gentianlink_Target="t1",
                X_Gentianlink_Attempt="x",
                Connection="X-Secret",
                X_Secret="1",
            )
            lines = sorted(heads[0].strip().split("\r\n")[1:])
            return [line for line in lines if "deadline" not in line]

        assert tools.run(test) == [
            "host: h",
            "x-gentianlink-attempt: 99",
            "x-gentianlink-caller: 127.0.0.1",
        ]

    def test_framing_headers_named_in_connection_are_kept(self, tools):
        async def test(bench):
            heads = []

            async def script(reader, writer, number):
                while True:
                    head, _ = await tools.read_request(reader)
                    heads.append(head.split("\r\n")[0])
                    writer.write(tools.make_answer(b""))

            node = await bench.start_simple(script, body_max_bytes=1 << 20)
            caller = await tools.caller.connect(node)
            inner = tools.make_request("GET", "/x/smuggled")
            body = inner + b"a" * 100_000
            caller.send(
                tools.make_request(
                    "DELETE", "/x", body, Connection="Content-Length, Host"
                )
            )
            await caller.read_answer()
            await caller.get("/x/next")
            return heads

        assert tools.run(test) == ["DELETE /x HTTP/1.1", "GET /x/next HTTP/1.1"]

    def test_call_is_refused_while_the_node_is_not_ready(self, tools):
        async def test(bench):
            node = await bench.start_simple(tools.echo_path)
            bench.is_ready = False
            caller = await tools.caller.connect(node)
            _, headers, _ = await caller.get()
            return headers["x-gentianlink-reason"], headers["retry-after"]

        assert tools.run(test) == ("not-ready", "1")

    def test_idle_connection_is_closed(self, tools):
        async def test(bench):
            node = await bench.start_simple(tools.echo_path)
            caller = await tools.caller.connect(node)
            await caller.get()
            node.server.sweep(1e15)
            return await caller.reader.read(), await asyncio.sleep(0)

        assert tools.run(test) == (b"", None)
