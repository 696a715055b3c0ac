"""A catalogue version as a node holds it."""

import hashlib

import attrs

from gentianlink.core.catalogue import Catalogue
from gentianlink.core.codec import decode, encode
from gentianlink.core.errors import CodecError, DigestMismatch


@attrs.frozen
class HeldVersion:
    """A version whose content has the digest that names it.

    Attributes
    ----------
    version : int
        Place in the total order.
    digest : str
        Digest of the content.
    data : bytes
        Encoded content.
    catalogue : Catalogue or None
        Decoded content, None if it does not decode here.
    """

    version: int
    digest: str
    data: bytes
    catalogue: Catalogue | None

    @classmethod
    def from_data(cls, version, digest, data):
        """Return a version received from outside.

        Parameters
        ----------
        version : int
            Version that the content should be.
        digest : str
            Digest that the content must have.
        data : bytes
            Encoded content.

        Returns
        -------
        HeldVersion
            The version; its content may still not decode.

        Raises
        ------
        DigestMismatch
            If the content was corrupted on its way.
        """
        if hashlib.sha256(data).hexdigest() != digest:
            raise DigestMismatch(f"version {version}")
        try:
            catalogue = decode(data, Catalogue)
        except CodecError:
            catalogue = None
        if catalogue is not None and catalogue.version != version:
            raise DigestMismatch(f"version {catalogue.version} came as {version}")
        return cls(version, digest, data, catalogue)

    @classmethod
    def from_catalogue(cls, catalogue):
        """Return the version of a decoded catalogue."""
        data = encode(catalogue)
        digest = hashlib.sha256(data).hexdigest()
        return cls(catalogue.version, digest, data, catalogue)
