"""Append-only log of a target's executions; the file survives a crash of the target."""

import orjson

from gentianlink.testing.checks.execution_record import ExecutionRecord


class ExecutionLog:
    """Appends one line at the start and one at the end of each execution.

    Parameters
    ----------
    path : str
        File to append to; empty to write no log.
    target_id : str
        Id of the target.
    """

    def __init__(self, path, target_id):
        self._file = open(path, "ab", buffering=0) if path else None
        self._target_id = target_id

    def start(self, request_id, key, path, now_ms):
        """Append the start of an execution."""
        self._write(
            {
                "target_id": self._target_id,
                "request_id": request_id,
                "key": key,
                "path": path,
                "started_ms": now_ms,
            }
        )

    def end(self, request_id, now_ms):
        """Append the end of an execution."""
        self._write(
            {
                "target_id": self._target_id,
                "request_id": request_id,
                "ended_ms": now_ms,
            }
        )

    def _write(self, value):
        if self._file is not None:
            self._file.write(orjson.dumps(value) + b"\n")


def read_executions(paths):
    """Read the execution logs of several targets.

    Parameters
    ----------
    paths : list of pathlib.Path
        Files written by :class:`ExecutionLog`.

    Returns
    -------
    list of ExecutionRecord
        Executions in the order of `paths`, then of their starts; `ended_ms` is 0 for an
        execution whose end was not logged.
    """
    executions = []
    for path in paths:
        executions.extend(_read_file(path))
    return executions


def _read_file(path):
    records = []
    open_records = {}
    for line in path.read_bytes().splitlines():
        value = orjson.loads(line)
        if "started_ms" in value:
            open_records[value["request_id"]] = len(records)
            records.append({**value, "ended_ms": 0})
            continue
        position = open_records.pop(value["request_id"], None)
        if position is not None:
            records[position]["ended_ms"] = value["ended_ms"]
    return [ExecutionRecord(**record) for record in records]
