"""A peer that speaks HTTP/1.1 with keep-alive and misbehaves on demand; plain sockets."""

import socket
import threading
import time


class HttpPeer:
    """Answers each request with a JSON body after a delay; a context manager.

    Args:
        delay_s: time from a whole request to its answer.
        reset: closes the connection instead of answering.

    Attributes:
        connections: connections accepted so far.
        requests: requests read so far.
    """

    def __init__(self, *, delay_s: float = 0.0, reset: bool = False) -> None:
        self._delay_s = delay_s
        self.reset = reset
        self.connections = 0
        self.requests = 0
        self._listener = socket.create_server(("127.0.0.1", 0))
        self._open: list[socket.socket] = []

    def __enter__(self) -> "HttpPeer":
        threading.Thread(target=self._accept, daemon=True).start()
        return self

    def __exit__(self, *exc_info: object) -> None:
        # Closing alone would leave the port open while a thread waits in accept.
        self._listener.shutdown(socket.SHUT_RDWR)
        self._listener.close()
        for conn in self._open:
            conn.close()

    @property
    def address(self) -> str:
        """The peer's `ip:port`."""
        return f"127.0.0.1:{self._listener.getsockname()[1]}"

    def _accept(self) -> None:
        while True:
            try:
                conn, _ = self._listener.accept()
            except OSError:
                return
            self.connections += 1
            self._open.append(conn)
            threading.Thread(target=self._serve, args=(conn,), daemon=True).start()

    def _serve(self, conn: socket.socket) -> None:
        with conn, conn.makefile("rb") as stream:
            while head := self._read_head(stream):
                length = int(head.get("content-length", 0))
                stream.read(length)
                self.requests += 1
                if self.reset:
                    return
                time.sleep(self._delay_s)
                try:
                    conn.sendall(b"HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\n{}")
                except OSError:
                    return

    def _read_head(self, stream) -> dict[str, str]:
        fields = {}
        for line in iter(stream.readline, b""):
            if line == b"\r\n":
                return fields
            name, _, value = line.decode().partition(":")
            fields[name.lower()] = value.strip()
        return {}
