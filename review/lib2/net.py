"""Minimal HTTP/1.1 server and client on asyncio, and a TCP proxy whose traffic can be refused, held or reset."""
import asyncio
import json
import random
import socket


def free_ports(count):
    """Returns loopback ports that are free now, below those that systems give to outgoing connections."""
    ports = []
    while len(ports) < count:
        port = random.SystemRandom().randrange(10000, 32000)
        with socket.socket() as s:
            try:
                s.bind(("127.0.0.1", port))
            except OSError:
                continue
        if port not in ports:
            ports.append(port)
    return ports


async def read_message(reader):
    """Reads one HTTP message; returns (start line, headers, body), or None at the end of the stream."""
    line = await reader.readline()
    if not line:
        return None
    headers = {}
    while True:
        h = await reader.readline()
        if h in (b"\r\n", b"\n", b""):
            break
        k, _, v = h.decode("latin-1").partition(":")
        headers[k.strip().lower()] = v.strip()
    body = b""
    n = int(headers.get("content-length", "0"))
    if n:
        body = await reader.readexactly(n)
    return line.decode("latin-1").strip(), headers, body


async def serve(port, handler):
    """Serves HTTP on a loopback port. `handler(method, target, body)` returns (status, object), or None to close."""

    async def connection(reader, writer):
        try:
            while True:
                msg = await read_message(reader)
                if msg is None:
                    break
                method, target, _ = msg[0].split(" ", 2)
                answer = await handler(method, target, msg[2])
                if answer is None:
                    break
                status, obj = answer
                body = json.dumps(obj).encode()
                writer.write(
                    b"HTTP/1.1 %d X\r\nContent-Type: application/json\r\nContent-Length: %d\r\n\r\n"
                    % (status, len(body))
                    + body
                )
                await writer.drain()
                if msg[1].get("connection", "").lower() == "close":
                    break
        except (OSError, asyncio.IncompleteReadError, ValueError):
            pass
        finally:
            writer.close()

    return await asyncio.start_server(connection, "127.0.0.1", port, backlog=512, limit=1 << 22)


class Client:
    """One keep-alive connection to one address at a time."""

    def __init__(self):
        self.addr = None
        self.reader = self.writer = None

    def close(self):
        if self.writer:
            self.writer.close()
        self.reader = self.writer = self.addr = None

    async def _call(self, port, method, path, body, headers):
        if self.addr != port or self.writer is None or self.writer.is_closing() or self.reader.at_eof():
            self.close()
            self.reader, self.writer = await asyncio.open_connection("127.0.0.1", port, limit=1 << 22)
            self.addr = port
        data = b"" if body is None else (body if isinstance(body, bytes) else json.dumps(body, separators=(",", ":")).encode())
        head = f"{method} {path} HTTP/1.1\r\nHost: 127.0.0.1\r\nContent-Length: {len(data)}\r\n{headers}\r\n"
        self.writer.write(head.encode() + data)
        await self.writer.drain()
        msg = await read_message(self.reader)
        if msg is None:
            raise OSError("closed")
        status = int(msg[0].split(" ")[1])
        try:
            obj = json.loads(msg[2]) if msg[2] else None
        except ValueError:
            obj = None
        if msg[1].get("connection", "").lower() == "close":
            self.close()
        return status, obj, msg[1]

    async def call(self, port, method, path, body=None, timeout=5.0, headers=""):
        """Returns (status, object, headers), or None if there is no response within `timeout`."""
        try:
            return await asyncio.wait_for(self._call(port, method, path, body, headers), timeout)
        except (OSError, asyncio.TimeoutError, asyncio.IncompleteReadError, ValueError, IndexError):
            self.close()
            return None


class Proxy:
    """A TCP proxy on a loopback port. mode: pass, refuse (resets), hold (keeps bytes until it passes again)."""

    def __init__(self, port, target):
        self.port, self.target, self.mode = port, target, "pass"
        self.passing = asyncio.Event()
        self.passing.set()
        self.writers = set()

    def set_mode(self, mode):
        self.mode = mode
        if mode == "hold":
            self.passing.clear()
        else:
            self.passing.set()
        if mode == "refuse":
            for w in list(self.writers):
                w.transport.abort()

    async def start(self):
        async def pump(reader, writer):
            try:
                while True:
                    data = await reader.read(65536)
                    await self.passing.wait()
                    if not data:
                        break
                    writer.write(data)
                    await writer.drain()
            except OSError:
                pass
            finally:
                writer.close()

        async def connection(reader, writer):
            if self.mode == "refuse":
                writer.transport.abort()
                return
            try:
                await self.passing.wait()
                r2, w2 = await asyncio.open_connection("127.0.0.1", self.target)
            except OSError:
                writer.transport.abort()
                return
            self.writers |= {writer, w2}
            await asyncio.gather(pump(reader, w2), pump(r2, writer))
            self.writers -= {writer, w2}

        self.server = await asyncio.start_server(connection, "127.0.0.1", self.port)
