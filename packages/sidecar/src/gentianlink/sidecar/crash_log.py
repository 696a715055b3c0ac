"""Log lines about crashes of targets."""

from gentianlink.node.log import get_logger

_LOG = get_logger("crashes")


def log_crash(info, calls):
    """Log that a target has crashed, and each call that it was executing.

    Parameters
    ----------
    info : TargetInfo
        State of the target before the crash.
    calls : list of CallSummary
        Calls in flight.
    """
    _LOG.warning(
        "target crashed",
        target=info.target_id,
        service=info.service,
        started_ms=info.started_ms,
        calls=len(calls),
    )
    for call in calls:
        _LOG.info(
            "in flight at a crash",
            id=call.request_id,
            target=info.target_id,
            fingerprint=call.fingerprint,
            method=call.method,
            host=call.host,
            path=call.path,
            caller=call.caller,
            body_bytes=call.body_bytes,
        )
