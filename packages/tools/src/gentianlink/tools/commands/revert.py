"""``gentianlink catalogue revert``."""

from gentianlink.tools.command import run_command
from gentianlink.tools.operator_access import OperatorAccess
from gentianlink.tools.options import (
    DEFAULT_WAIT_S,
    BaseOption,
    ChangeIdOption,
    ConfigOption,
    JsonOption,
    NodeOption,
    ObjectUrlOption,
    TableUrlOption,
    TimeoutOption,
    VersionArgument,
    WaitOption,
    WhoOption,
    WhyOption,
    YesOption,
)
from gentianlink.tools.proposal import Proposal
from gentianlink.tools.submission import SubmissionOptions, make_request, submit
from gentianlink.tools.versions import read_version


def revert(
    version: VersionArgument,
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
    """Make a new version with the content of an earlier one."""
    request = make_request(change_id, who, why)
    options = SubmissionOptions(yes, wait, timeout, as_json)

    async def work():
        access = OperatorAccess.from_options(config, table_url, object_url, node)
        catalogue = await read_version(access.store, version)
        named_request = access.fill_operator_name(request)
        await submit(access, Proposal(catalogue, named_request, base), options)

    run_command(work(), request)
