"""Make the clients of a command, and name the operator, from options and settings."""

import getpass

import attrs

from gentianlink.core.errors import SettingsInvalid
from gentianlink.core.operator_settings import OperatorIdentity, OperatorSettings
from gentianlink.core.problem import Problem
from gentianlink.core.setting_fields import ALLOWED, PARSE
from gentianlink.core.settings import PlatformSettings
from gentianlink.parser.settings_file import load_operator_settings
from gentianlink.platform.object_client import ObjectClient
from gentianlink.platform.table_client import TableClient
from gentianlink.store.catalogue_store import CatalogueStore
from gentianlink.tools.node_client import NodeClient

SOURCE = "command line"


@attrs.frozen
class OperatorAccess:
    """Clients of the platform and of admin ports.

    Attributes
    ----------
    store : CatalogueStore
        Store of the accepted versions.
    nodes : NodeClient
        Client of the admin ports.
    operator_name : str
        Name of the operator in the settings; empty if they have none.
    """

    store: CatalogueStore
    nodes: NodeClient
    operator_name: str

    @classmethod
    def from_options(cls, config, table_url, object_url, admin_urls):
        """Return clients for options and a settings file; options take precedence.

        Parameters
        ----------
        config : pathlib.Path or None
            The operator's settings file.
        table_url, object_url : str
            Addresses of the platform; empty if not given.
        admin_urls : sequence of str or None
            Addresses of admin ports.

        Returns
        -------
        OperatorAccess
            The clients.

        Raises
        ------
        SettingsInvalid
            If the file or an option has a mistake, or an address is missing.
        """
        settings = load_operator_settings(config) if config else None
        platform = _choose_platform(settings, table_url, object_url)
        urls = _choose_admin_urls(settings, admin_urls)
        identity = settings.operator if settings else OperatorIdentity()
        table = TableClient.from_settings(platform)
        store = CatalogueStore(table, ObjectClient.from_settings(platform))
        nodes = NodeClient(urls, table, platform.timeout_ms)
        return cls(store, nodes, identity.name)

    def fill_operator_name(self, request):
        """Return a request with the name of the operator filled in.

        Parameters
        ----------
        request : ChangeRequest
            The request; its operator is empty if no option names one.

        Returns
        -------
        ChangeRequest
            Request with the name from the option, else the settings, else the login.
        """
        who = request.who or self.operator_name or getpass.getuser()
        return attrs.evolve(request, who=who)


def make_node_client(config, table_url, object_url, admin_urls):
    """Return a client of admin ports; the platform is used only to find the nodes.

    Parameters
    ----------
    config : pathlib.Path or None
        The operator's settings file.
    table_url, object_url : str
        Addresses of the platform; empty if not given.
    admin_urls : sequence of str or None
        Addresses of admin ports.

    Returns
    -------
    NodeClient
        The client.

    Raises
    ------
    SettingsInvalid
        If the file or an option has a mistake, or an address is missing.
    """
    if admin_urls and config is None:
        urls = _choose_admin_urls(None, admin_urls)
        return NodeClient(urls, None, attrs.fields(PlatformSettings).timeout_ms.default)
    return OperatorAccess.from_options(config, table_url, object_url, admin_urls).nodes


def _choose_platform(settings, table_url, object_url):
    given = {"table_url": table_url, "object_url": object_url}
    values = {}
    problems = []
    for key, value in given.items():
        option = "--" + key.replace("_", "-")
        metadata = getattr(attrs.fields(PlatformSettings), key).metadata
        try:
            if value:
                values[key] = metadata[PARSE](value)
            elif settings is None:
                problems.append(
                    Problem(SOURCE, "", option, "nothing", metadata[ALLOWED])
                )
        except ValueError:
            problems.append(Problem(SOURCE, "", option, repr(value), metadata[ALLOWED]))
    if problems:
        raise SettingsInvalid(problems)
    if settings is None:
        return PlatformSettings(**values)
    return attrs.evolve(settings.platform, **values)


def _choose_admin_urls(settings, admin_urls):
    if not admin_urls:
        return settings.nodes.admin_urls if settings else ()
    section = attrs.fields(OperatorSettings).nodes.type
    metadata = attrs.fields(section).admin_urls.metadata
    try:
        return metadata[PARSE](",".join(admin_urls))
    except ValueError as error:
        problem = Problem(SOURCE, "", "--node", repr(admin_urls), metadata[ALLOWED])
        raise SettingsInvalid([problem]) from error
