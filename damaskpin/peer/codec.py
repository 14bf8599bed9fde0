"""Encoding of frames with message authentication codes."""

from __future__ import annotations

import collections
import hashlib
import hmac
from typing import Generic
from typing import TypeVar

import msgspec

from damaskpin import errors
from damaskpin.peer import messages

FrameT = TypeVar('FrameT', bound=msgspec.Struct)

MAC_BYTES = 12
MAX_FRAME_BYTES = 4 * 1024 * 1024


class Codec(Generic[FrameT]):
    """Encodes and decodes frames, authenticated by the fleet key.

    :param key: secret shared by all damaskpin processes of the fleet.
    :param frame: type of the frames to decode.
    :ivar counts: encoded frames, their bytes, and frames that were too large
        to send.
    """

    __slots__ = ('_decoder', '_encoder', '_key', 'counts')

    def __init__(
        self, key: bytes, frame: type[FrameT] = messages.Frame
    ) -> None:
        self._key = key
        self.counts: collections.Counter[str] = collections.Counter()
        self._encoder = msgspec.msgpack.Encoder()
        self._decoder = msgspec.msgpack.Decoder(frame)

    def encode_frame(self, frame: FrameT) -> bytes:
        """Encode a frame, preceded by its authentication code.

        :raises damaskpin.errors.FrameSizeError: its receiver would drop it.
        """
        payload = self._encoder.encode(frame)
        size = MAC_BYTES + len(payload)
        if size > MAX_FRAME_BYTES:
            self.counts['oversized frames'] += 1
            raise errors.FrameSizeError(size)
        self.counts['frames'] += 1
        self.counts['bytes'] += size
        return self._compute_mac(payload) + payload

    def decode_frame(self, data: bytes) -> FrameT:
        """Check and decode a frame.

        :raises damaskpin.errors.FrameError: too large, forged or malformed.
        """
        if len(data) > MAX_FRAME_BYTES:
            raise errors.FrameSizeError(len(data))
        mac, payload = data[:MAC_BYTES], data[MAC_BYTES:]
        if not hmac.compare_digest(mac, self._compute_mac(payload)):
            raise errors.FrameError('authentication code does not match')
        try:
            return self._decoder.decode(payload)
        except (msgspec.DecodeError, RecursionError) as error:
            raise errors.FrameError(f'malformed frame: {error}') from error

    def _compute_mac(self, payload: bytes) -> bytes:
        return hmac.digest(self._key, payload, hashlib.sha256)[:MAC_BYTES]
