"""Start the sidecar; the build puts all packages on the import path."""

import gc
import os

from gentianlink.sidecar.early_listen import listen_early

listener = listen_early(os.environ.get("GENTIANLINK_SETTINGS", ""))

# What the imports allocate is not garbage, so collections of it would find nothing.
gc.disable()

from gentianlink.sidecar.main import main  # noqa: E402, slow import: listen first

gc.freeze()
gc.enable()
main(listener)
