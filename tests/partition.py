"""A network between keepers that can go silent without closing a connection."""

import contextlib
import re
import socket
import threading
from typing import Any

from .keepers import KeeperCluster
from .processes import free_port

__all__ = ["PartitionedCluster"]

CHUNK_BYTES = 65_536
_PEER_ID = re.compile(rb"(k[0-9]+)\.[0-9a-f]{12}")


class _Network:
    """Which keepers are cut off from the others."""

    def __init__(self):
        self._changed = threading.Condition()
        self._cut_off: set[str] = set()
        self._is_closed = False

    def set_cut_off(self, *names: str) -> None:
        """Hold what passes between these keepers and the others."""
        with self._changed:
            self._cut_off = set(names)
            self._changed.notify_all()

    def close(self) -> None:
        """Let every held connection go on to its end."""
        with self._changed:
            self._is_closed = True
            self._changed.notify_all()

    def wait_until_open(self, source: str, target: str) -> None:
        """Wait while the way between two keepers is cut."""
        with self._changed:
            self._changed.wait_for(lambda: self._is_open(source, target))

    def _is_open(self, source: str, target: str) -> bool:
        same_side = (source in self._cut_off) == (target in self._cut_off)
        return self._is_closed or not source or same_side


class _Proxy:
    """Forwards the connections to one keeper."""

    def __init__(self, network: _Network, name: str, port: int):
        self._network = network
        self._name = name
        self._port = port
        self._listener = socket.create_server(("127.0.0.1", 0))
        self.addr = f"127.0.0.1:{self._listener.getsockname()[1]}"
        threading.Thread(target=self._accept, daemon=True).start()

    def close(self) -> None:
        """Accept no more."""
        self._listener.close()

    def _accept(self) -> None:
        with contextlib.suppress(OSError):
            while True:
                client, _ = self._listener.accept()
                threading.Thread(
                    target=self._serve, args=(client,), daemon=True
                ).start()

    def _serve(self, client: socket.socket) -> None:
        with contextlib.suppress(OSError), client:
            first = client.recv(CHUNK_BYTES)
            found = _PEER_ID.search(first)
            source = found.group(1).decode() if found else ""
            self._network.wait_until_open(source, self._name)
            with socket.create_connection(("127.0.0.1", self._port)) as server:
                server.sendall(first)
                back = threading.Thread(
                    target=self._pump, args=(server, client, source), daemon=True
                )
                back.start()
                self._pump(client, server, source)
                back.join()

    def _pump(self, source: Any, target: Any, name: str) -> None:
        with contextlib.suppress(OSError):
            while data := source.recv(CHUNK_BYTES):
                self._network.wait_until_open(name, self._name)
                target.sendall(data)
        with contextlib.suppress(OSError):
            target.shutdown(socket.SHUT_WR)


class PartitionedCluster(KeeperCluster):
    """Three keepers that reach each other through proxies."""

    def __init__(self, *flags: str):
        super().__init__(*flags)
        self.network = _Network()
        self.listens = {name: f"127.0.0.1:{free_port()}" for name in self.addresses}
        self._proxies = {
            name: _Proxy(self.network, name, int(listen.rpartition(":")[2]))
            for name, listen in self.listens.items()
        }
        self.set_addresses({name: p.addr for name, p in self._proxies.items()})

    def __exit__(self, *exc_info: object) -> None:
        """End the processes and the proxies."""
        self.network.close()
        super().__exit__(*exc_info)
        for proxy in self._proxies.values():
            proxy.close()
