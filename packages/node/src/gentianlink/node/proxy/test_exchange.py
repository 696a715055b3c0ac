import asyncio

import pytest

from gentianlink.core.work_class import WorkClass

OUTCOME = "x-gentianlink-outcome"
REASON = "x-gentianlink-reason"


def get_result(answer):
    status, headers, _ = answer
    return status, headers[OUTCOME], headers.get(REASON)


class TestExchange:
    def test_connection_is_reused_after_a_complete_exchange(self, tools):
        async def test(bench):
            caller = await tools.caller.connect(
                await bench.start_simple(tools.echo_path)
            )
            bodies = [(await caller.get(f"/x/{n}"))[2] for n in range(3)]
            return bodies, bench.connections

        assert tools.run(test) == ([b"/x/0", b"/x/1", b"/x/2"], 1)

    @pytest.mark.proves("own-answer", "reordered", "answer")
    def test_late_answer_is_not_relayed(self, tools):
        async def test(bench):
            late = asyncio.Event()

            async def script(reader, writer, number):
                head, _ = await tools.read_request(reader)
                if number == 1:
                    await late.wait()
                writer.write(tools.make_answer(head.split()[1].encode()))
                await reader.read()

            node = await bench.start_simple(script, work_class=WorkClass.AT_MOST_ONCE)
            first = await tools.caller.connect(node)
            second = await tools.caller.connect(node)
            answer = await first.get(
                "/x/1", Idempotency_Key="k1", X_Gentianlink_Deadline_Ms=40
            )
            late.set()
            other = await second.get("/x/2", Idempotency_Key="k2")
            return get_result(answer), other[2]

        assert tools.run(test) == ((504, "unknown", "deadline-passed"), b"/x/2")

    # Guards against taking the second copy of a refusal for a refusal of the next call.
    def test_refusal_that_is_written_twice_does_not_refuse_the_next_call(self, tools):
        async def test(bench):
            refusal = (
                b"HTTP/1.1 503 Busy\r\nX-Gentianlink-Outcome: not-run\r\n"
                b"Content-Length: 0\r\n\r\n"
            )

            async def script(reader, writer, number):
                await tools.read_request(reader)
                if number > 1:
                    writer.write(tools.make_answer(b"done"))
                else:
                    writer.write(refusal)
                    await tools.read_request(reader)
                    writer.write(refusal)
                await reader.read()

            caller = await tools.caller.connect(await bench.start_simple(script))
            first = await caller.get("/x/1")
            return get_result(first)[:2], (await caller.get("/x/2"))[2]

        assert tools.run(test) == ((503, "not-run"), b"done")

    @pytest.mark.parametrize("is_at_once", [True, False])
    @pytest.mark.proves("own-answer", "reordered", "dispatch")
    def test_second_answer_to_one_request_is_not_relayed(self, tools, is_at_once):
        async def test(bench):
            sent = asyncio.Event()
            relayed = asyncio.Event()

            async def script(reader, writer, number):
                head, _ = await tools.read_request(reader)
                answer = tools.make_answer(head.split()[1].encode())
                if number == 1 and is_at_once:
                    writer.write(answer + tools.make_answer(b"crossed"))
                elif number == 1:
                    writer.write(answer)
                    await relayed.wait()
                    writer.write(tools.make_answer(b"crossed"))
                    await writer.drain()
                else:
                    writer.write(answer)
                sent.set()
                await reader.read()

            node = await bench.start_simple(script)
            caller = await tools.caller.connect(node)
            first = (await caller.get("/x/1"))[2]
            relayed.set()
            await sent.wait()
            return first, (await caller.get("/x/2"))[2], bench.connections

        assert tools.run(test) == (b"/x/1", b"/x/2", 2)

    @pytest.mark.proves("own-answer", "cut", "dispatch")
    def test_idle_connection_closed_by_the_target_is_replaced(self, tools):
        async def test(bench):
            closed = asyncio.Event()

            async def script(reader, writer, number):
                head, _ = await tools.read_request(reader)
                writer.write(tools.make_answer(head.split()[1].encode()))
                await writer.drain()
                writer.close()
                await writer.wait_closed()
                closed.set()

            node = await bench.start_simple(script, work_class=WorkClass.AT_MOST_ONCE)
            caller = await tools.caller.connect(node)
            first = (await caller.get("/x/1", Idempotency_Key="k1"))[2]
            await closed.wait()
            second = (await caller.get("/x/2", Idempotency_Key="k2"))[2]
            return first, second, bench.connections

        assert tools.run(test) == (b"/x/1", b"/x/2", 2)

    @pytest.mark.parametrize(
        "part",
        [
            b"HTTP/1.1 200 OK\r\nContent-Length: 10\r\n\r\nhalf",
            b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n4\r\nhalf\r\n",
            b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n4\r\nhalf\r\nzz\r\n",
        ],
    )
    @pytest.mark.proves("own-answer", "cut", "answer")
    def test_truncated_answer_is_never_relayed_as_whole(self, tools, part):
        async def test(bench):
            async def script(reader, writer, number):
                await tools.read_request(reader)
                writer.write(part)
                await writer.drain()

            caller = await tools.caller.connect(await bench.start_simple(script))
            try:
                return get_result(await caller.get())
            except asyncio.IncompleteReadError:
                return "cut"

        assert tools.run(test) in ("cut", (502, "unknown", "target-lost"))

    @pytest.mark.parametrize(
        ("answer", "result"),
        [
            (b"", (502, "unknown", "target-lost")),
            (b"HTTP/1.1 200 OK\r\nContent-Le", (502, "unknown", "target-lost")),
            (b"nonsense\r\n\r\n", (502, "unknown", "target-lost")),
            (b"HTTP/1.1 200 OK\r\n\r\nbody", (502, "unknown", "bad-answer")),
            (
                b"HTTP/1.1 200 OK\r\nContent-Length: 1\r\nContent-Length: 2\r\n\r\nab",
                (502, "unknown", "target-lost"),
            ),
            (
                b"HTTP/1.1 200 OK\r\nContent-Length: 1\r\n"
                b"Transfer-Encoding: chunked\r\n\r\n0\r\n\r\n",
                (502, "unknown", "target-lost"),
            ),
        ],
    )
    @pytest.mark.proves("own-answer", "bad-input", "answer")
    @pytest.mark.proves("not-run", "cut", "answer")
    @pytest.mark.proves("at-most-once", "cut", "answer")
    def test_unframed_or_malformed_answer_is_an_unknown_outcome(
        self, tools, answer, result
    ):
        async def test(bench):
            async def script(reader, writer, number):
                await tools.read_request(reader)
                writer.write(answer)
                await writer.drain()

            node = await bench.start_simple(
                script, work_class=WorkClass.AT_MOST_ONCE, retries=2
            )
            caller = await tools.caller.connect(node)
            return get_result(await caller.get(Idempotency_Key="k")), bench.connections

        assert tools.run(test) == (result, 1)

    @pytest.mark.proves("own-answer", "silent", "answer")
    def test_silent_connection_is_replaced_for_repeatable_work(self, tools):
        async def test(bench):
            async def script(reader, writer, number):
                head, _ = await tools.read_request(reader)
                if number > 1:
                    writer.write(tools.make_answer(head.split()[1].encode()))
                await reader.read()

            node = await bench.start_simple(script, retries=0)
            caller = await tools.caller.connect(node)
            answer = await caller.get("/x/1", X_Gentianlink_Deadline_Ms=200)
            return get_result(answer), answer[2], bench.connections

        assert tools.run(test) == ((200, "done", None), b"/x/1", 2)

    @pytest.mark.proves("at-most-once", "silent", "answer")
    @pytest.mark.proves("not-run", "silent", "answer")
    def test_silent_connection_is_not_replaced_for_at_most_once_work(self, tools):
        async def test(bench):
            async def script(reader, writer, number):
                await reader.read()

            node = bench.start_node("n1", silence_ms=50)
            bench.add_target(node, await bench.start_target(script))
            bench.set_route((node, "t1"), work_class=WorkClass.AT_MOST_ONCE)
            caller = await tools.caller.connect(node)
            answer = await caller.get(Idempotency_Key="k")
            return get_result(answer), bench.connections

        assert tools.run(test) == ((504, "unknown", "target-silent"), 1)

    def test_call_shed_by_a_target_is_refused_with_its_retry_after(self, tools):
        async def test(bench):
            async def script(reader, writer, number):
                await tools.read_request(reader)
                writer.write(
                    tools.make_answer(
                        b"busy",
                        "503 Busy",
                        X_Gentianlink_Outcome="not-run",
                        X_Gentianlink_Retry_After_Ms="70",
                    )
                )
                await reader.read()

            caller = await tools.caller.connect(await bench.start_simple(script))
            answer = await caller.get()
            return get_result(answer), answer[1]["x-gentianlink-retry-after-ms"]

        assert tools.run(test) == ((503, "not-run", "target-shed"), "70")

    @pytest.mark.parametrize("status", ["200 OK", "500 Oops", "503 Busy"])
    @pytest.mark.proves("own-answer", "bad-input", "dispatch")
    def test_refusal_headers_forged_by_a_target_are_ignored(self, tools, status):
        async def test(bench):
            async def script(reader, writer, number):
                await tools.read_request(reader)
                forged = {"X_Gentianlink_Outcome": "unknown"}
                forged["X_Gentianlink_Reason"] = "no-route"
                writer.write(tools.make_answer(b"own", status, **forged))
                await reader.read()

            caller = await tools.caller.connect(await bench.start_simple(script))
            answer = await caller.get()
            return get_result(answer), answer[2]

        assert tools.run(test) == ((int(status[:3]), "done", None), b"own")

    def test_caller_that_disconnects_cancels_the_call_and_frees_the_slot(self, tools):
        async def test(bench):
            received = asyncio.Event()
            cancelled = asyncio.Event()

            async def script(reader, writer, number):
                await tools.read_request(reader)
                received.set()
                if await reader.read() == b"":
                    cancelled.set()

            node = await bench.start_simple(script)
            caller = await tools.caller.connect(node)
            caller.send(tools.make_request("GET", "/x"))
            await received.wait()
            before = node.get_gate().in_flight
            caller.close()
            await cancelled.wait()
            await node.server.wait_idle()
            return before, node.get_gate().in_flight

        assert tools.run(test) == (1, 0)

    @pytest.mark.proves("own-answer", "none", "dispatch")
    def test_answer_passes_two_nodes_whole(self, tools):
        async def test(bench):
            beside = bench.start_node("n1")
            bench.add_target(beside, await bench.start_target(tools.echo_path))
            far = bench.start_node("n2")
            bench.set_route((beside, "t1"))
            caller = await tools.caller.connect(far)
            answers = [await caller.get(f"/x/{n}") for n in range(2)]
            return [(get_result(item), item[2]) for item in answers]

        assert tools.run(test) == [
            ((200, "done", None), b"/x/0"),
            ((200, "done", None), b"/x/1"),
        ]
