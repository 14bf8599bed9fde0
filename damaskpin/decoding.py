"""Decoding of data that another writer may have left malformed."""

from __future__ import annotations

from typing import TYPE_CHECKING
from typing import TypeVar

import msgspec

from damaskpin import errors

if TYPE_CHECKING:
    from collections.abc import Callable

T = TypeVar('T')


def decode(decoder: Callable[[bytes], T], data: bytes) -> T:
    """Decode data with a decoder of msgspec.

    :raises damaskpin.errors.MalformedError: the data does not have the form
        that the decoder expects.
    """
    try:
        return decoder(data)
    except (msgspec.DecodeError, UnicodeDecodeError) as error:
        raise errors.MalformedError(str(error)) from error
    except RecursionError as error:
        raise errors.MalformedError('nested too deeply') from error
