"""knapweeddeal.frames: Files of payloads with length and checksum."""

import os
import struct
import zlib

from knapweeddeal.errors import BadMessageError, CorruptStorageError
from knapweeddeal.messages.base import decode

__all__ = [
    "FRAME",
    "corruption_error",
    "decode_as",
    "encode_frame",
    "decode_frame",
    "read_frames",
    "read_message",
    "sync_folder",
    "write_all",
    "write_atomically",
]

#: Length of the payload and checksum of length and payload, before each payload.
FRAME = struct.Struct(">II")
LENGTH = struct.Struct(">I")
MAX_FRAME_BYTES = 1 << 29


def encode_frame(payload):
    """Return a payload behind its length and checksum."""
    length = LENGTH.pack(len(payload))
    checksum = zlib.crc32(payload, zlib.crc32(length))
    return FRAME.pack(len(payload), checksum) + payload


def read_frames(path, data, synced_bytes):
    """Return the payloads in a file's bytes and the offset where the whole ones end.

    Damage before `synced_bytes` raises CorruptStorageError; what comes after the
    last whole frame beyond it is a torn tail.
    """
    payloads, offset = [], 0
    while offset < len(data):
        payload = decode_frame(data, offset)
        if payload is None:
            break
        payloads.append(payload)
        offset += FRAME.size + len(payload)
    if offset < synced_bytes:
        raise corruption_error(path, offset, "a synced record is damaged")
    return payloads, offset


def decode_frame(data, offset):
    """Return the whole payload at an offset, or None."""
    body = offset + FRAME.size
    if body > len(data):
        return None
    length, checksum = FRAME.unpack_from(data, offset)
    if length > MAX_FRAME_BYTES or body + length > len(data):
        return None
    payload = bytes(data[body : body + length])
    expected = zlib.crc32(payload, zlib.crc32(LENGTH.pack(length)))
    return payload if checksum == expected else None


def corruption_error(path, offset, text):
    """Return the failure that names a file and the byte offset of its damage."""
    return CorruptStorageError(text, field=str(path), value=offset)


def write_all(file, data):
    """Write all bytes to an unbuffered file."""
    view = memoryview(data)
    while view:
        view = view[file.write(view) :]


def sync_folder(path):
    """Sync the names in a folder."""
    descriptor = os.open(path, os.O_RDONLY | os.O_DIRECTORY)
    try:
        os.fsync(descriptor)
    finally:
        os.close(descriptor)


def write_atomically(path, data):
    """Replace a file by way of a synced temporary one."""
    temporary = path.with_name(path.name + ".tmp")
    with open(temporary, "wb") as file:
        file.write(data)
        file.flush()
        os.fsync(file.fileno())
    os.rename(temporary, path)
    sync_folder(path.parent)


def read_message(path, kind):
    """Return the one message in a file; raise CorruptStorageError."""
    try:
        data = path.read_bytes()
    except FileNotFoundError:
        raise corruption_error(path, 0, "the file is missing") from None
    payloads, end = read_frames(path, data, len(data))
    if len(payloads) != 1:
        raise corruption_error(path, end, "not one record")
    return decode_as(path, 0, payloads[0], kind)


def decode_as(path, offset, payload, kind):
    """Return the message in a payload; raise CorruptStorageError."""
    try:
        message = decode(payload)
    except BadMessageError as error:
        raise corruption_error(path, offset, error.describe()) from None
    if not isinstance(message, kind):
        raise corruption_error(path, offset, "holds another message")
    return message
