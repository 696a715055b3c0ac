import pytest

from gentianlink.core.work_class import WorkClass

REASON = "x-gentianlink-reason"
OUTCOME = "x-gentianlink-outcome"
ATTEMPT = "x-gentianlink-attempt"


async def shed(tools, reader, writer, number):
    await tools.read_request(reader)
    headers = {"X_Gentianlink_Outcome": "not-run"}
    writer.write(tools.make_answer(b"", "503 Busy", **headers))
    await reader.read()


async def disconnect(tools, reader, writer, number):
    await tools.read_request(reader)


class Targets:
    """Two targets, each local to its own node, called through a third node."""

    @classmethod
    async def start(cls, bench, tools, script, **route):
        self = cls()
        self.heads = []

        async def record(reader, writer, number):
            head, _ = await tools.read_request(reader)
            self.heads.append(head.lower())
            reader = _Replay(reader, head)
            await script(tools, reader, writer, number)

        self.far = bench.start_node("far")
        locations = []
        for name in ("t1", "t2"):
            node = bench.start_node(f"n-{name}")
            bench.add_target(node, await bench.start_target(record), name)
            locations.append((node, name))
        bench.set_route(*locations, **route)
        return self

    def get_attempts(self):
        return [
            line
            for head in self.heads
            for line in head.split("\r\n")
            if line.startswith(ATTEMPT)
        ]


class _Replay:
    def __init__(self, reader, head):
        self._reader = reader
        self._head = head.encode()

    async def readuntil(self, separator):
        return self._head

    async def read(self):
        return await self._reader.read()


class TestRouter:
    @pytest.mark.parametrize(
        ("script", "work_class", "headers", "attempts", "result"),
        [
            (shed, WorkClass.READ, {}, 2, ("not-run", "target-shed", "2")),
            (shed, WorkClass.AT_MOST_ONCE, {}, 2, ("not-run", "target-shed", "2")),
            (
                disconnect,
                WorkClass.AT_MOST_ONCE,
                {},
                1,
                ("unknown", "target-lost", "1"),
            ),
            (
                shed,
                WorkClass.READ,
                {"X_Gentianlink_Attempt": "2"},
                1,
                ("not-run", "target-shed", "1"),
            ),
        ],
    )
    @pytest.mark.proves("at-most-once", "cut", "route")
    @pytest.mark.proves("not-run", "overload", "route")
    def test_retry_only_where_it_is_safe_and_in_one_layer(
        self, tools, script, work_class, headers, attempts, result
    ):
        async def test(bench):
            targets = await Targets.start(
                bench, tools, script, work_class=work_class, retries=1
            )
            caller = await tools.caller.connect(targets.far)
            answer = await caller.get(Idempotency_Key="k", **headers)
            got = answer[1]
            return (got[OUTCOME], got[REASON], got[ATTEMPT]), len(targets.heads)

        assert tools.run(test) == (result, attempts)

    def test_call_that_was_retried_by_the_target_is_not_retried_again(self, tools):
        async def test(bench):
            async def script(tools, reader, writer, number):
                await tools.read_request(reader)
                headers = {"X_Gentianlink_Outcome": "not-run"}
                headers["X_Gentianlink_Attempt"] = "2"
                writer.write(tools.make_answer(b"", "503 Busy", **headers))
                await reader.read()

            targets = await Targets.start(bench, tools, script, retries=3)
            caller = await tools.caller.connect(targets.far)
            await caller.get()
            return len(targets.heads)

        assert tools.run(test) == 1

    @pytest.mark.proves("not-run", "cut", "route")
    def test_call_that_may_have_run_is_never_reported_as_not_run(self, tools):
        async def test(bench):
            async def script(tools, reader, writer, number):
                await tools.read_request(reader)
                headers = {"X_Gentianlink_Outcome": "not-run"}
                if number > 1:
                    writer.write(tools.make_answer(b"", "503 Busy", **headers))
                    await reader.read()

            targets = await Targets.start(bench, tools, script, retries=1)
            caller = await tools.caller.connect(targets.far)
            headers = (await caller.get())[1]
            return headers[OUTCOME], headers[REASON], headers[ATTEMPT]

        assert tools.run(test) == ("unknown", "target-shed", "2")

    def test_attempts_are_numbered(self, tools):
        async def test(bench):
            targets = await Targets.start(bench, tools, shed, retries=1)
            caller = await tools.caller.connect(targets.far)
            await caller.get()
            return targets.get_attempts()

        assert tools.run(test) == [f"{ATTEMPT}: 1", f"{ATTEMPT}: 2"]

    def test_retries_stop_when_the_budget_is_spent(self, tools):
        async def test(bench):
            targets = await Targets.start(bench, tools, disconnect, retries=1)
            caller = await tools.caller.connect(targets.far)
            for _ in range(60):
                await caller.get(X_Gentianlink_Attempt="1")
            return len(targets.heads)

        assert tools.run(test) <= 60 * 2 + 10 + 6 + 1

    def test_deadline_shrinks_along_a_chain_of_sixteen_calls(self, tools):
        async def test(bench):
            node = bench.start_node("n1")
            remaining = []
            own_ms = 3

            async def script(reader, writer, number):
                head, _ = await tools.read_request(reader)
                fields = dict(
                    line.lower().split(": ", 1)
                    for line in head.split("\r\n")[1:]
                    if line
                )
                deadline = fields["x-gentianlink-deadline-ms"]
                remaining.append(int(deadline))
                if len(remaining) < 16:
                    nested = await tools.caller.connect(node)
                    left = int(deadline) - own_ms
                    answer = await nested.get(X_Gentianlink_Deadline_Ms=left)
                    nested.close()
                    writer.write(tools.make_answer(answer[2]))
                else:
                    writer.write(tools.make_answer(b"bottom"))
                await reader.read()

            bench.add_target(node, await bench.start_target(script), slots=20)
            bench.set_route((node, "t1"))
            caller = await tools.caller.connect(node)
            answer = await caller.get(X_Gentianlink_Deadline_Ms=2000)
            return answer[2], remaining

        body, remaining = tools.run(test)
        assert body == b"bottom"
        assert len(remaining) == 16
        assert remaining == sorted(remaining, reverse=True)
        assert 2000 >= remaining[0] and remaining[-1] <= 2000 - 15 * 3

    @pytest.mark.proves("own-answer", "kill", "route")
    def test_calls_to_an_unreachable_target_succeed_on_another(self, tools):
        async def test(bench):
            far = bench.start_node("far")
            good = bench.start_node("good")
            bad = bench.start_node("bad")
            bench.add_target(good, await bench.start_target(tools.echo_path), "t1")
            bench.add_target(bad, 1, "t2")
            bench.set_route((good, "t1"), (bad, "t2"), retries=1)
            caller = await tools.caller.connect(far)
            answers = [await caller.get() for _ in range(40)]
            return {answer[0] for answer in answers}, answers[-1][1].get(ATTEMPT)

        assert tools.run(test)[0] == {200}
