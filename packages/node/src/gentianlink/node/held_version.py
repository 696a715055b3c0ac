"""A catalogue version with its encoded and decoded content."""

import hashlib

import attrs

from gentianlink.core.catalogue import Catalogue
from gentianlink.core.codec import decode, encode
from gentianlink.core.errors import CodecError, DigestMismatch


@attrs.frozen
class HeldVersion:
    """A version whose content matches its digest.

    Attributes
    ----------
    version : int
        Number of the version in the total order.
    digest : str
        Digest of the content.
    data : bytes
        Encoded content.
    catalogue : Catalogue or None
        Decoded content, None if this release can't decode it.
    """

    version: int
    digest: str
    data: bytes
    catalogue: Catalogue | None

    @classmethod
    def from_data(cls, version, digest, data):
        """Check and decode a received version.

        Parameters
        ----------
        version : int
            Version that the content must have.
        digest : str
            Digest that the content must have.
        data : bytes
            Encoded content.

        Returns
        -------
        HeldVersion
            The version; its ``catalogue`` is None if the content does not decode.

        Raises
        ------
        DigestMismatch
            If the content has another digest or version.
        """
        if hashlib.sha256(data).hexdigest() != digest:
            raise DigestMismatch(f"version {version}")
        try:
            catalogue = decode(data, Catalogue)
        except CodecError:
            catalogue = None
        if catalogue is not None and catalogue.version != version:
            raise DigestMismatch(
                f"version {catalogue.version} was sent as version {version}"
            )
        return cls(version, digest, data, catalogue)

    @classmethod
    def from_catalogue(cls, catalogue):
        """Return the version of a decoded catalogue."""
        data = encode(catalogue)
        digest = hashlib.sha256(data).hexdigest()
        return cls(catalogue.version, digest, data, catalogue)
