import attrs
import pytest
from aioprometheus import REGISTRY, render

from gentianlink.core.target_load import TargetLoad
from gentianlink.node.metrics import NodeMetrics
from gentianlink.node.node_status import NodeStatus

STATUS = NodeStatus(
    node_id="n1",
    data_centre="k-1",
    ready=True,
    version=3,
    digest="d",
    applied_ms={3: 1040},
    platform_failure="PlatformUnavailable: down",
    latest_version=3,
    refused={2: "bad"},
    control_bytes={"sent have": 12},
    accepted_ms={3: 1000},
    complete_version=3,
    complete_ms=1090,
    links=("n2",),
    nodes=4,
    endpoints={"/a": 1},
    in_flight=2,
    outcomes={"done": 5},
    calls_by_class={"at-most-once done": 5},
    refusals={"overloaded": 6},
    retries=7,
    targets={"t1": TargetLoad("inquiry", "ready", 8, 2, 9)},
    records=8,
    records_digest="0",
    table_builds=3,
    platform_reads=10,
    platform_writes=11,
    claims={"executed": 5},
    claims_pending={"calls": 1},
    platform_bytes=13,
)


def read_metrics():
    content, _ = render(REGISTRY, ["text/plain"])
    lines = content.decode().splitlines()
    return [line for line in lines if line and not line.startswith("#")]


class TestMetrics:
    @pytest.fixture
    def metrics(self):
        yield NodeMetrics()
        REGISTRY.clear()

    def test_every_number_of_a_status(self, metrics):
        metrics.update(STATUS)
        assert sorted(read_metrics()) == [
            "gentianlink_applied_version 3",
            'gentianlink_calls_by_class{class="at-most-once",outcome="done"} 5',
            "gentianlink_calls_in_flight 2",
            'gentianlink_calls{outcome="done"} 5',
            'gentianlink_claims_pending{kind="calls"} 1',
            'gentianlink_claims{result="executed"} 5',
            'gentianlink_control_bytes{direction="sent",kind="have"} 12',
            'gentianlink_convergence_ms{scope="data_centre"} 90',
            'gentianlink_convergence_ms{scope="node"} 40',
            "gentianlink_head_read_failing 1",
            "gentianlink_links 1",
            "gentianlink_live_nodes 4",
            "gentianlink_platform_bytes 13",
            'gentianlink_platform_requests{kind="read"} 10',
            'gentianlink_platform_requests{kind="write"} 11',
            'gentianlink_queued_calls{target="t1"} 9',
            "gentianlink_ready 1",
            "gentianlink_records 8",
            'gentianlink_refusals{reason="overloaded"} 6',
            "gentianlink_refused_versions 1",
            "gentianlink_retries 7",
            'gentianlink_slots{target="t1",use="free"} 2',
            'gentianlink_slots{target="t1",use="taken"} 8',
            "gentianlink_table_builds 3",
        ]

    def test_gauges_of_a_removed_target_disappear(self, metrics):
        metrics.update(STATUS)
        metrics.update(attrs.evolve(STATUS, targets={}))
        assert [line for line in read_metrics() if "t1" in line] == []
