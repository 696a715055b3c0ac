"""Keys of rows and names of objects on the platform."""

HEAD_KEY = "catalogue/head"
CHANGE_PREFIX = "catalogue/change/"
CHANGE_ID_PREFIX = "catalogue/change-id/"
NODE_PREFIX = "node/"
ADMIN_PREFIX = "admin/"


def get_change_key(version):
    """Return the key of the audit row of a version."""
    return f"{CHANGE_PREFIX}{version:012d}"


def get_change_id_key(change_id):
    """Return the key of the row with the version that a change id created."""
    return f"{CHANGE_ID_PREFIX}{change_id}"


def get_snapshot_name(version, digest):
    """Return the name of the object with the snapshot of a version."""
    return f"catalogue/snapshot/{version:012d}-{digest}"


def get_delta_name(version, digest):
    """Return the name of the object with the delta to a version."""
    return f"catalogue/delta/{version:012d}-{digest}"
