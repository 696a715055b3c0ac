"""Rendezvous ranks: every node computes the same order with no agreement."""

import hashlib


def compute_score(key, member):
    """Return the score of a member for a key.

    Parameters
    ----------
    key : str
        What the rank is for.
    member : str
        Name of the member.

    Returns
    -------
    int
        Pseudo-random number that depends on the two names only.
    """
    data = f"{key}\0{member}".encode()
    return int.from_bytes(hashlib.blake2b(data, digest_size=8).digest(), "big")


def get_ranked(key, members):
    """Return members by rank, best first.

    Parameters
    ----------
    key : str
        What the rank is for.
    members : iterable of str
        Names of the members.

    Returns
    -------
    list of str
        Members sorted by descending score.
    """
    return sorted(members, key=lambda member: compute_score(key, member), reverse=True)
