"""The subset of HTTP/1.1 over asyncio streams that the soak needs."""

import asyncio
import os

# Loopback address derived from the process id, so that concurrent runs do not share ports.
LOOPBACK = f"127.{1 + os.getpid() // 250 % 250}.{os.getpid() % 250}.1"


class WireError(Exception):
    """The peer sent bytes that are no valid HTTP message."""


class Message:
    """A request or a response; `start` holds the fields of the start line."""

    def __init__(self, start, headers, body=b""):
        self.start = start
        self.headers = headers
        self.body = body

    def header(self, name, default=None):
        for key, value in self.headers:
            if key.lower() == name.lower():
                return value
        return default

    @property
    def status(self):
        return int(self.start[1])

    def keeps_alive(self):
        return "close" not in (self.header("Connection") or "").lower()


async def read_message(reader):
    """Returns the next message, or None if the peer closed before one began."""
    try:
        head = await reader.readuntil(b"\r\n\r\n")
    except asyncio.IncompleteReadError as error:
        if error.partial:
            raise WireError(f"the connection ended inside a header: {error.partial[:80]!r}")
        return None
    except asyncio.LimitOverrunError as error:
        raise WireError(str(error))
    lines = head[:-4].decode("latin-1").split("\r\n")
    start = lines[0].split(" ", 2)
    if len(start) < 2 or not (start[0].startswith("HTTP/1.") or start[-1].startswith("HTTP/1.")):
        raise WireError(f"not a valid message: {lines[0][:80]!r}")
    headers = []
    for line in lines[1:]:
        name, colon, value = line.partition(":")
        if not colon:
            raise WireError(f"malformed header line: {line[:80]!r}")
        headers.append((name, value.strip()))
    message = Message(start, headers)
    try:
        message.body = await _read_body(reader, message)
    except asyncio.IncompleteReadError:
        raise WireError("the connection ended inside a body")
    return message


async def _read_body(reader, message):
    if (message.header("Transfer-Encoding") or "").lower() == "chunked":
        body = b""
        while True:
            size = int((await reader.readuntil(b"\r\n")).split(b";")[0], 16)
            body += (await reader.readexactly(size + 2))[:-2]
            if size == 0:
                return body
    return await reader.readexactly(int(message.header("Content-Length") or 0))


def encode(start, headers, body=b""):
    """Encodes a message; adds Content-Length if there is a body or it is a response."""
    lines = [start] + [f"{name}: {value}" for name, value in headers]
    if body or start.startswith("HTTP/"):
        lines.append(f"Content-Length: {len(body)}")
    return ("\r\n".join(lines) + "\r\n\r\n").encode("latin-1") + body


def reset(writer):
    """Aborts a connection with a reset, so that unread bytes are lost."""
    transport = writer.transport
    if not transport.is_closing():
        transport.abort()
