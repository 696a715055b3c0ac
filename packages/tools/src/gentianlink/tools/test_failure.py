from gentianlink.core.errors import (
    ChangeOutcomeUnknown,
    CodecError,
    DigestMismatch,
    ObjectNotFound,
    PlatformAnswerInvalid,
    PlatformUnavailable,
    WriteConflict,
)
from gentianlink.store.change_request import ChangeRequest
from gentianlink.tools.errors import WaitTimeout
from gentianlink.tools.exit_code import ExitCode
from gentianlink.tools.failure import Failure, describe_failure
from gentianlink.tools.fleet_convergence import FleetConvergence

NEW = ChangeRequest("c1", "ann", "test")
REPEAT = ChangeRequest("c1", "ann", "test", is_repeat=True)
HINT = "repeat the command with --change-id c1 to find out"


class TestFailure:
    def test_exit_codes_of_a_reading_command(self):
        codes = {
            PlatformUnavailable("x"): ExitCode.PLATFORM_UNAVAILABLE,
            PlatformAnswerInvalid("x"): ExitCode.PLATFORM_UNAVAILABLE,
            WriteConflict("row", 3): ExitCode.CONFLICT,
            ObjectNotFound("x"): ExitCode.CONTENT_DAMAGED,
            DigestMismatch("x"): ExitCode.CONTENT_DAMAGED,
            CodecError("x"): ExitCode.CONTENT_DAMAGED,
        }
        assert {error: describe_failure(error).code for error in codes} == codes

    def test_lost_answer_of_a_change(self):
        assert describe_failure(ChangeOutcomeUnknown("c1"), NEW) == Failure(
            ExitCode.OUTCOME_UNKNOWN,
            ("not known whether accepted: ChangeOutcomeUnknown", HINT),
        )

    def test_platform_down_during_a_new_change(self):
        failure = describe_failure(PlatformUnavailable("status 503"), NEW)
        assert failure.code is ExitCode.PLATFORM_UNAVAILABLE

    def test_platform_down_during_a_repeat(self):
        failure = describe_failure(PlatformUnavailable("status 503"), REPEAT)
        assert failure.code is ExitCode.OUTCOME_UNKNOWN

    def test_many_nodes_behind(self):
        names = tuple(f"n{number}" for number in range(64))
        error = WaitTimeout(FleetConvergence(3, 4700, 4000, names, False))
        assert describe_failure(error) == Failure(
            ExitCode.WAIT_TIMEOUT,
            (
                "version 3 is in force on 4000 of 4700 nodes",
                f"behind: {', '.join(names[:20])} and 680 more",
            ),
        )
