"""A small HTTP/1.1 server and client on asyncio, for the stand-ins of the review."""

import asyncio
import json


async def read_message(reader):
    """Reads one message; returns (first line, body), or None at the end of the stream."""
    try:
        head = await reader.readuntil(b"\r\n\r\n")
    except (asyncio.IncompleteReadError, ConnectionError, asyncio.LimitOverrunError):
        return None
    lines = head.decode("latin-1").split("\r\n")
    length, close = 0, False
    for line in lines[1:]:
        name, _, value = line.partition(":")
        if name.lower() == "content-length":
            length = int(value)
        if name.lower() == "connection" and "close" in value.lower():
            close = True
    try:
        body = await reader.readexactly(length) if length else b""
    except (asyncio.IncompleteReadError, ConnectionError):
        return None
    return lines[0], body, close


class Server:
    """Serves one loopback port. The handler gets (method, path, parsed body) and returns
    (status, object). It may return None: then the request gets no answer."""

    def __init__(self, handler):
        self.handler = handler
        self.server = None
        self.port = None
        self.writers = set()

    async def start(self, port=0):
        self.server = await asyncio.start_server(self._serve, "127.0.0.1", port, limit=1 << 20)
        self.port = self.server.sockets[0].getsockname()[1]
        return self.port

    async def _serve(self, reader, writer):
        self.writers.add(writer)
        try:
            while True:
                message = await read_message(reader)
                if message is None:
                    return
                first, raw, close = message
                method, path, _ = first.split(" ", 2)
                try:
                    body = json.loads(raw) if raw else None
                except ValueError:
                    body = None
                answer = await self.handler(method, path, body)
                if answer is None:
                    await asyncio.sleep(600)
                    return
                status, value = answer
                data = json.dumps(value).encode()
                writer.write(
                    b"HTTP/1.1 %d X\r\nContent-Type: application/json\r\nContent-Length: %d\r\n\r\n"
                    % (status, len(data)) + data)
                await writer.drain()
                if close:
                    return
        except (ConnectionError, asyncio.CancelledError):
            pass
        finally:
            self.writers.discard(writer)
            writer.close()

    def close(self):
        if self.server:
            self.server.close()
        for writer in list(self.writers):
            writer.transport.abort()


class Connection:
    """A client connection that is kept open between calls."""

    def __init__(self, port):
        self.port = port
        self.reader = self.writer = None

    async def call(self, method, path, body=None, timeout=4.0, raw=None):
        """Returns (status, object or None). Raises OSError or asyncio.TimeoutError."""
        try:
            return await asyncio.wait_for(self._call(method, path, body, raw), timeout)
        except BaseException:
            self.close()
            raise

    async def _call(self, method, path, body, raw):
        if self.writer is None or self.writer.is_closing():
            self.reader, self.writer = await asyncio.open_connection(
                "127.0.0.1", self.port, limit=1 << 20)
        data = raw if raw is not None else (b"" if body is None else json.dumps(body).encode())
        self.writer.write(
            f"{method} {path} HTTP/1.1\r\nHost: x\r\nContent-Type: application/json\r\n"
            f"Content-Length: {len(data)}\r\n\r\n".encode() + data)
        await self.writer.drain()
        message = await read_message(self.reader)
        if message is None:
            self.close()
            raise ConnectionError("connection ended without an answer")
        first, answer, close = message
        status = int(first.split(" ")[1])
        if close:
            self.close()
        try:
            return status, json.loads(answer) if answer else None
        except ValueError:
            return status, None

    def close(self):
        if self.writer is not None:
            self.writer.transport.abort()
        self.reader = self.writer = None


async def call(port, method, path, body=None, timeout=4.0, raw=None):
    """One call on a connection of its own."""
    connection = Connection(port)
    try:
        return await connection.call(method, path, body, timeout, raw)
    finally:
        connection.close()


class Gate:
    """A proxy in front of a loopback port. While it is shut, connections are refused, and open ones are
    reset."""

    def __init__(self, target):
        self.target, self.server, self.port, self.writers = target, None, None, set()

    async def open(self):
        self.server = await asyncio.start_server(self._serve, "127.0.0.1", self.port or 0)
        self.port = self.server.sockets[0].getsockname()[1]

    def shut(self):
        if self.server:
            self.server.close()
        self.server = None
        for writer in list(self.writers):
            writer.transport.abort()

    async def _serve(self, reader, writer):
        self.writers.add(writer)
        other = None
        try:
            far, other = await asyncio.open_connection("127.0.0.1", self.target)
            self.writers.add(other)
            await asyncio.gather(self._pump(reader, other), self._pump(far, writer))
        except (OSError, asyncio.CancelledError):
            pass
        finally:
            for end in (writer, other):
                if end is not None:
                    self.writers.discard(end)
                    end.transport.abort()

    async def _pump(self, reader, writer):
        while True:
            data = await reader.read(65536)
            if not data:
                raise ConnectionError
            writer.write(data)
            await writer.drain()
