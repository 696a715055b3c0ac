"""``gentianlink catalogue apply``."""

from gentianlink.tools.command import run_command
from gentianlink.tools.commands.catalogue_argument import load_or_fail
from gentianlink.tools.operator_access import OperatorAccess
from gentianlink.tools.options import (
    DEFAULT_WAIT_S,
    BaseOption,
    ChangeIdOption,
    ConfigOption,
    FileArgument,
    JsonOption,
    NodeOption,
    ObjectUrlOption,
    TableUrlOption,
    TimeoutOption,
    WaitOption,
    WhoOption,
    WhyOption,
    YesOption,
)
from gentianlink.tools.proposal import Proposal
from gentianlink.tools.submission import SubmissionOptions, make_request, submit


def apply(
    path: FileArgument,
    why: WhyOption,
    who: WhoOption = "",
    base: BaseOption = None,
    change_id: ChangeIdOption = "",
    yes: YesOption = False,
    wait: WaitOption = False,
    timeout: TimeoutOption = DEFAULT_WAIT_S,
    as_json: JsonOption = False,
    config: ConfigOption = None,
    table_url: TableUrlOption = "",
    object_url: ObjectUrlOption = "",
    node: NodeOption = None,
):
    """Make a file the next catalogue version."""
    catalogue = load_or_fail(path, as_json)
    request = make_request(change_id, who, why)
    options = SubmissionOptions(yes, wait, timeout, as_json)

    async def work():
        access = OperatorAccess.from_options(config, table_url, object_url, node)
        named_request = access.fill_operator_name(request)
        await submit(access, Proposal(catalogue, named_request, base), options)

    run_command(work(), request)
