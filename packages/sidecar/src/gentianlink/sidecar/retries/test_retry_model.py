import attrs
import pytest

from gentianlink.testing.retry_model import Pause, RetryModel, RetryScenario

SEEDS = (1, 2, 3)
SCENARIOS = {
    "steady": RetryScenario(),
    "burst": RetryScenario(burst=(15.0, 18.0, 4.0)),
    "no calls after a burst": RetryScenario(burst=(0.0, 20.0, 8.0), per_s=20.0),
    "pause of most nodes": RetryScenario(
        pauses=(Pause(20.0, 8.0),), shed_share=0.9, caller_retry_share=1.0
    ),
    "series of pauses": RetryScenario(
        pauses=tuple(Pause(12.0 + 4 * number, 3.0) for number in range(8)),
        shed_share=0.9,
        caller_retry_share=1.0,
    ),
    "series of kills": RetryScenario(
        kills_s=tuple(15.0 + 2 * number for number in range(10))
    ),
    "kills after sheds have begun": RetryScenario(
        shed_share=0.9,
        sheds_from_s=20.0,
        caller_retry_share=1.0,
        kills_s=(21.5, 23.0, 25.0, 27.0, 29.0),
    ),
    "kills while cut off": RetryScenario(
        kills_s=(12.0, 13.0, 30.0), cut_s=(11.0, 40.0), per_s=20.0
    ),
    "few calls": RetryScenario(per_s=4.0, shed_share=0.9),
    "one node": RetryScenario(nodes=1),
    "400 targets": RetryScenario(targets=400, nodes=400, per_s=400.0, length_s=25.0),
}


class TestBudgetOfAllNodes:
    # Guards against more repeats at the targets of a service than its budget allows,
    # though each node keeps its share.
    @pytest.mark.parametrize("name", SCENARIOS)
    @pytest.mark.parametrize("seed", SEEDS)
    def test_no_window_has_more_repeats_than_the_budget(self, name, seed):
        scenario = SCENARIOS[name]
        result = RetryModel(scenario, seed).run()
        assert result.find_excess(scenario.bounds) <= 0

    # Guards against keeping the budget by repeating nothing.
    @pytest.mark.parametrize("seed", SEEDS)
    def test_repeats_serve_more_calls(self, seed):
        scenario = SCENARIOS["steady"]
        alone = RetryModel(attrs.evolve(scenario, attempts=1), seed).run()
        result = RetryModel(scenario, seed).run()
        assert result.served / len(result.calls_ms) > (
            alone.served / len(alone.calls_ms) + 0.02
        )
