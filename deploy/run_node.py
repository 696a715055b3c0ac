"""Start the sidecar; the build puts all packages on the import path."""

import os

from gentianlink.sidecar.early_listen import listen_early

listener = listen_early(os.environ.get("GENTIANLINK_SETTINGS", ""))

from gentianlink.sidecar.main import main  # noqa: E402, slow import: listen first

main(listener)
