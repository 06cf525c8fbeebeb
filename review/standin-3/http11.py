"""A small HTTP/1.1 server and client on asyncio, enough for the stand-ins."""

import asyncio
import json
import urllib.parse


class Request:
    def __init__(self, method, target, headers, body):
        self.method = method
        self.path, _, query = target.partition("?")
        self.query = dict(urllib.parse.parse_qsl(query))
        self.headers = headers
        self.body = body

    def json(self):
        return json.loads(self.body) if self.body else {}


async def read_message(reader):
    """Returns the first line, the headers and the body; None at the end."""
    try:
        head = await reader.readuntil(b"\r\n\r\n")
    except (asyncio.IncompleteReadError, ConnectionError):
        return None
    lines = head.decode("latin-1").split("\r\n")
    headers = {}
    for line in lines[1:]:
        name, colon, value = line.partition(":")
        if colon:
            headers[name.strip().lower()] = value.strip()
    length = int(headers.get("content-length", "0"))
    try:
        body = await reader.readexactly(length) if length else b""
    except (asyncio.IncompleteReadError, ConnectionError):
        return None
    return lines[0], headers, body


REASONS = {200: "OK", 400: "Bad Request", 404: "Not Found", 409: "Conflict",
           410: "Gone", 412: "Precondition Failed", 421: "Misdirected Request",
           429: "Too Many Requests", 503: "Service Unavailable"}


class Server:
    """Serves `handle(request) -> (status, body object or None)` on an address.

    `handle` may return None, which closes the connection without an answer.
    """

    def __init__(self, ip, port, handle):
        self.ip, self.port, self.handle = ip, port, handle
        self.server = None
        self.writers = set()

    async def start(self):
        self.server = await asyncio.start_server(
            self._serve, self.ip, self.port, limit=1 << 24, backlog=512)
        self.port = self.server.sockets[0].getsockname()[1]

    async def _serve(self, reader, writer):
        self.writers.add(writer)
        try:
            while True:
                message = await read_message(reader)
                if message is None:
                    break
                method, target, _ = message[0].split(" ", 2)
                answer = await self.handle(
                    Request(method, target, message[1], message[2]))
                if answer is None:
                    break
                status, body = answer
                data = b"" if body is None else json.dumps(
                    body, separators=(",", ":")).encode()
                writer.write(
                    (f"HTTP/1.1 {status} {REASONS.get(status, 'Other')}\r\n"
                     f"Content-Type: application/json\r\n"
                     f"Content-Length: {len(data)}\r\n\r\n").encode() + data)
                await writer.drain()
        except (ConnectionError, asyncio.CancelledError):
            pass
        finally:
            self.writers.discard(writer)
            writer.close()

    def stop(self):
        """Closes the listening socket and resets all connections."""
        if self.server:
            self.server.close()
            self.server = None
        for writer in list(self.writers):
            writer.transport.abort()
        self.writers.clear()


async def call(ip, port, method, target, host, body=None, timeout_ms=3000):
    """Sends one request on a new connection.

    Returns (status, object), or (0, reason) without a complete answer.
    """
    async def exchange():
        reader, writer = await asyncio.open_connection(ip, port, limit=1 << 24)
        try:
            data = b"" if body is None else json.dumps(body).encode()
            writer.write((f"{method} {target} HTTP/1.1\r\nHost: {host}\r\n"
                          f"Content-Type: application/json\r\n"
                          f"Request-Timeout: {timeout_ms}\r\n"
                          f"Content-Length: {len(data)}\r\n\r\n").encode()
                         + data)
            await writer.drain()
            message = await read_message(reader)
            if message is None:
                return 0, "the channel ended without an answer"
            try:
                answer = json.loads(message[2]) if message[2] else None
            except ValueError:
                answer = message[2].decode("latin-1")
            return int(message[0].split(" ")[1]), answer
        finally:
            writer.close()
    try:
        return await asyncio.wait_for(exchange(), timeout_ms / 1000)
    except asyncio.TimeoutError:
        return 0, "no answer in time"
    except OSError as error:
        return 0, str(error)
