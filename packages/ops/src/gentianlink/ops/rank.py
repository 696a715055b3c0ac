"""Rendezvous hashing: every node computes the same order without coordination."""

import hashlib


def compute_score(key, member):
    """Return the rendezvous score of a member for a key.

    Parameters
    ----------
    key : str
        Key for which the members are ranked.
    member : str
        Name of the member.

    Returns
    -------
    int
        Pseudo-random number that depends only on the key and the name.
    """
    data = f"{key}\0{member}".encode()
    return int.from_bytes(hashlib.blake2b(data, digest_size=8).digest(), "big")


def get_ranked(key, members):
    """Return members in the order of their rendezvous scores, highest first.

    Parameters
    ----------
    key : str
        Key for which the members are ranked.
    members : iterable of str
        Names of the members.

    Returns
    -------
    list of str
        Names in the order of descending score.
    """
    return sorted(members, key=lambda member: compute_score(key, member), reverse=True)
