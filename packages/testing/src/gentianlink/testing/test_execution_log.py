from gentianlink.testing.checks.execution_record import ExecutionRecord
from gentianlink.testing.execution_log import ExecutionLog, read_executions


class TestExecutionLog:
    def test_executions_are_read_back(self, tmp_path):
        path = tmp_path / "t1"
        log = ExecutionLog(path, "t1")
        log.start("r1", "k1", "/redeem", 10)
        log.start("r2", "", "/balance", 11)
        log.end("r1", 15)
        assert read_executions([path]) == [
            ExecutionRecord("t1", "r1", "k1", "/redeem", 10, 15),
            ExecutionRecord("t1", "r2", "", "/balance", 11, 0),
        ]
