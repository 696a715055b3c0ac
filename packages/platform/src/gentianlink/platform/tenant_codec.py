"""Decoder for the tenants of a catalogue version."""

from gentianlink.core.field_checks import check_number, check_rank, describe
from gentianlink.core.tenant import Tenant


def decode_tenants(rows):
    """Decode the tenants.

    Parameters
    ----------
    rows : list of dict
        Fields of each tenant by name.

    Returns
    -------
    dict of str to Tenant
        Tenants by name.

    Raises
    ------
    One of ``field_checks.UNREADABLE``
        If a field is malformed, or two tenants share a name or a key. Messages contain
        no keys.
    """
    tenants = {}
    owner_by_key = {}
    for row in rows:
        tenant = _decode_tenant(row)
        if tenant.name in tenants:
            raise ValueError(f"two tenants are named {tenant.name!r}")
        for key in tenant.keys:
            other = owner_by_key.setdefault(key, tenant.name)
            if other != tenant.name:
                raise ValueError(f"{other!r} and {tenant.name!r} share a key")
        tenants[tenant.name] = tenant
    return tenants


def _decode_tenant(row):
    name = row["name"]
    keys = row.get("api_keys") or []
    if not (isinstance(name, str) and name):
        raise ValueError(f"malformed name of a tenant: {describe(name)}")
    is_valid = isinstance(keys, list) and all(isinstance(k, str) and k for k in keys)
    if not is_valid:
        raise ValueError(f"malformed keys of the tenant {name!r}")
    priority = row.get("priority")
    return Tenant(
        name=name,
        keys=tuple(dict.fromkeys(keys)),
        priority=None if priority is None else check_rank(priority),
        rate_per_s=_decode_limit(row, "rate_per_s"),
        burst=_decode_limit(row, "burst"),
    )


def _decode_limit(row, field):
    try:
        return check_number(row.get(field) or 0)
    except ValueError as error:
        raise ValueError(f"{field} of the tenant {row['name']!r}: {error}") from error
