"""knapweeddeal.frames: Files of payloads framed with length and checksum."""

import os
import struct
import zlib

from knapweeddeal.errors import BadMessageError, CorruptStorageError
from knapweeddeal.messages.base import decode

__all__ = [
    "FRAME_HEADER",
    "corruption_error",
    "decode_as",
    "encode_frame",
    "decode_frame",
    "read_frames",
    "read_message",
    "sync_folder",
    "truncate_and_sync",
    "write_all",
    "write_atomically",
]

#: Header of each payload: its length, and the checksum of length and payload.
FRAME_HEADER = struct.Struct(">II")
LENGTH_PREFIX = struct.Struct(">I")
MAX_FRAME_BYTES = 1 << 29


def encode_frame(payload):
    """Return a payload with its length and checksum in front."""
    length = LENGTH_PREFIX.pack(len(payload))
    checksum = zlib.crc32(payload, zlib.crc32(length))
    return FRAME_HEADER.pack(len(payload), checksum) + payload


def read_frames(path, data, synced_bytes):
    """Return the payloads in a file's bytes and the end offset of the last one.

    Damage before `synced_bytes` raises CorruptStorageError. Damage after it is a torn
    tail, left by an interrupted write, and ends the payloads.
    """
    payloads, offset = [], 0
    while offset < len(data):
        payload = decode_frame(data, offset)
        if payload is None:
            break
        payloads.append(payload)
        offset += FRAME_HEADER.size + len(payload)
    if offset < synced_bytes:
        raise corruption_error(
            path, offset, "a synced record has an invalid length or checksum"
        )
    return payloads, offset


def decode_frame(data, offset):
    """Return the payload at an offset, or None if it is incomplete or damaged."""
    body_start = offset + FRAME_HEADER.size
    if body_start > len(data):
        return None
    length, checksum = FRAME_HEADER.unpack_from(data, offset)
    if length > MAX_FRAME_BYTES or body_start + length > len(data):
        return None
    payload = bytes(data[body_start : body_start + length])
    expected = zlib.crc32(payload, zlib.crc32(LENGTH_PREFIX.pack(length)))
    return payload if checksum == expected else None


def corruption_error(path, offset, text):
    """Return the error for damage in a file at a byte offset."""
    return CorruptStorageError(text, field=str(path), value=offset)


def write_all(file, data):
    """Write all bytes to an unbuffered file."""
    view = memoryview(data)
    while view:
        view = view[file.write(view) :]


def truncate_and_sync(path, size_bytes):
    """Truncate a file, and sync what remains of it.

    After a restart of the process, a file may hold bytes that were never synced.
    """
    with open(path, "r+b", buffering=0) as file:
        os.ftruncate(file.fileno(), size_bytes)
        os.fdatasync(file.fileno())


def sync_folder(path):
    """Sync a folder's entries, so that created and renamed files survive a crash."""
    descriptor = os.open(path, os.O_RDONLY | os.O_DIRECTORY)
    try:
        os.fsync(descriptor)
    finally:
        os.close(descriptor)


def write_atomically(path, data):
    """Replace a file by renaming a synced temporary file."""
    temporary = path.with_name(path.name + ".tmp")
    with open(temporary, "wb") as file:
        file.write(data)
        file.flush()
        os.fsync(file.fileno())
    os.rename(temporary, path)
    sync_folder(path.parent)


def read_message(path, message_class):
    """Return the only message in a file; raise CorruptStorageError."""
    try:
        data = path.read_bytes()
    except FileNotFoundError:
        raise corruption_error(path, 0, "the file is missing") from None
    payloads, end = read_frames(path, data, len(data))
    if len(payloads) != 1:
        raise corruption_error(path, end, "expected exactly one record")
    return decode_as(path, 0, payloads[0], message_class)


def decode_as(path, offset, payload, message_class):
    """Return the message in a payload; raise CorruptStorageError."""
    try:
        message = decode(payload)
    except BadMessageError as error:
        raise corruption_error(path, offset, error.describe()) from None
    if not isinstance(message, message_class):
        raise corruption_error(path, offset, "found a message of an unexpected class")
    return message
