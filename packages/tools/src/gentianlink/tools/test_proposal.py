import asyncio
import threading

import pytest

from gentianlink.parser.catalogue_file import parse_catalogue
from gentianlink.tools.errors import BaseMoved
from gentianlink.tools.operator_access import OperatorAccess
from gentianlink.tools.proposal import Proposal, propose
from gentianlink.tools.submission import make_request


class TestProposal:
    def test_change_accepted_during_confirmation_raises_base_moved(
        self, operator, catalogue
    ):
        def apply_other_change(version, differences):
            other = catalogue.replace("800", "900")
            arguments = (other, "--yes")
            thread = threading.Thread(target=operator.apply, args=arguments)
            thread.start()
            thread.join()

        url = operator.platform_url
        access = OperatorAccess.from_options(None, f"{url}/table", f"{url}/objects", ())
        mine, _ = parse_catalogue(catalogue, "mine")
        proposal = Proposal(mine, make_request("c1", "bob", "mine"), None)
        with pytest.raises(BaseMoved) as caught:
            asyncio.run(propose(access.store, proposal, apply_other_change))
        assert caught.value.base == 0
        assert [(change.version, change.who) for change in caught.value.changes] == [
            (1, "ann")
        ]
