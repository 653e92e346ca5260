"""Exchange messages with peers over ZeroMQ; one task owns the sockets."""

import logging
from collections import deque
from collections.abc import Callable

import anyio
import attrs
import zmq
import zmq.asyncio
from zmq.auth.asyncio import AsyncioAuthenticator

from berylchute.exceptions import PeerError
from berylchute.listening import listen
from berylchute.messages import MESSAGE_BYTES_DEFAULT, Message, ObjectPush, decode, encode
from berylchute.settings import PeersSettings
from berylchute.types import Clock

__all__ = ["PeerCounters", "Peers"]

_LOG = logging.getLogger(__name__)

SEND_QUEUE_MESSAGES_MAX = 4096
# Bounds the queue for an unreachable peer; the protocol repeats all messages, so old ones are
# of no use.
PEER_QUEUE_MESSAGES_MAX = 256
# Longer messages are encoded once for all peers that ask for the same object.
LARGE_MESSAGE_BYTES = 65_536
# Closes idle connections, as relays gossip with random peers and would run out of descriptors.
IDLE_CLOSE_S = 60.0
RECEIVE_BATCH_MESSAGES = 64
LINGER_MS = 500


@attrs.define
class PeerCounters:
    """Count messages and bytes since the start, and dropped messages by reason."""

    sent_messages: int = 0
    sent_bytes: int = 0
    received_messages: int = 0
    received_bytes: int = 0
    dropped_queue_full: int = 0
    dropped_peer_full: int = 0
    dropped_invalid: int = 0


@attrs.define
class _QueuedMessage:
    address: str
    frames: list[bytes]


@attrs.define
class _Dealer:
    socket: zmq.Socket[bytes]
    last_used_s: float


class Peers:
    """Send messages to peers and receive theirs; implements PeerSender.

    `on_message` is called for each decoded message, in the task that runs `run`.
    """

    def __init__(
        self,
        listen: str,
        settings: PeersSettings,
        clock: Clock,
        on_message: Callable[[Message], None],
        message_bytes_max: int = MESSAGE_BYTES_DEFAULT,
    ) -> None:
        self._listen = listen
        self._settings = settings
        self._clock = clock
        self._on_message = on_message
        self._message_bytes_max = message_bytes_max
        self._queue: deque[_QueuedMessage] = deque()
        self._wake_event = anyio.Event()
        self._dealers: dict[str, _Dealer] = {}
        self._last_encoded: tuple[Message, list[bytes]] | None = None
        self._large_encoded: dict[str, tuple[ObjectPush, list[bytes]]] = {}
        self.counters = PeerCounters()

    def send(self, address: str, message: Message) -> None:
        """Queue a message for the peer at `ip:port`; if the queue is full, drop and count it."""
        if len(self._queue) >= SEND_QUEUE_MESSAGES_MAX:
            self.counters.dropped_queue_full += 1
            return
        self._queue.append(_QueuedMessage(address, self._encode(message)))
        self._wake_event.set()

    def _encode(self, message: Message) -> list[bytes]:
        """Encode a message once when it goes to many peers in a row, or is a large object."""
        if isinstance(message, ObjectPush) and len(message.value) > LARGE_MESSAGE_BYTES:
            large = self._large_encoded.get(message.key)
            if large is None or large[0] is not message:
                large = self._large_encoded[message.key] = (message, encode(message))
            return large[1]
        if self._last_encoded is None or self._last_encoded[0] is not message:
            self._last_encoded = (message, encode(message))
        return self._last_encoded[1]

    async def run(
        self, *, task_status: anyio.abc.TaskStatus[None] = anyio.TASK_STATUS_IGNORED
    ) -> None:
        """Send and receive until cancelled; raise ListenError if the address cannot be used."""
        context = zmq.asyncio.Context()
        authenticator = self._start_authenticator(context)
        try:
            router = self._make_router(context)
            await listen(self._listen, lambda: self._bind(router))
            async with anyio.create_task_group() as group:
                group.start_soon(self._receive_all, router)
                task_status.started()
                await self._send_all(zmq.Context(context))
        finally:
            with anyio.CancelScope(shield=True):
                self._flush(zmq.Context(context))
                for dealer in self._dealers.values():
                    dealer.socket.close(linger=LINGER_MS)
                self._dealers.clear()
                if authenticator is not None:
                    authenticator.stop()
                context.destroy(linger=LINGER_MS)

    def _start_authenticator(self, context: zmq.asyncio.Context) -> AsyncioAuthenticator | None:
        if not self._settings.curve_secret_key:
            return None
        authenticator = AsyncioAuthenticator(context)
        authenticator.start()
        authenticator.configure_curve_callback(credentials_provider=self)
        return authenticator

    def callback(self, domain: str, key: bytes) -> bool:
        """Return whether a peer has one of the fleet's CURVE keys; called by the authenticator."""
        return key.decode() in (self._settings.curve_public_key, self._settings.curve_server_key)

    def _make_router(self, context: zmq.asyncio.Context) -> zmq.asyncio.Socket:
        router = context.socket(zmq.ROUTER)
        router.setsockopt(zmq.MAXMSGSIZE, self._message_bytes_max)
        router.setsockopt(zmq.RCVHWM, PEER_QUEUE_MESSAGES_MAX)
        router.setsockopt(zmq.LINGER, 0)
        self._set_keepalive(router)
        if self._settings.curve_secret_key:
            router.curve_secretkey = self._settings.curve_secret_key.encode()
            router.curve_publickey = self._settings.curve_public_key.encode()
            router.curve_server = True
        return router

    async def _bind(self, router: zmq.asyncio.Socket) -> None:
        try:
            router.bind(f"tcp://{self._listen}")
        except zmq.ZMQError as error:
            raise OSError(error.errno, error.strerror) from error

    def _set_keepalive(self, socket: zmq.Socket[bytes] | zmq.asyncio.Socket) -> None:
        # ZMTP pings detect a peer host that went away without closing its connections.
        socket.setsockopt(zmq.HEARTBEAT_IVL, 2000)
        socket.setsockopt(zmq.HEARTBEAT_TIMEOUT, 4000)

    def _connect(self, context: zmq.Context[zmq.Socket[bytes]], address: str) -> _Dealer:
        socket = context.socket(zmq.DEALER)
        socket.setsockopt(zmq.SNDHWM, PEER_QUEUE_MESSAGES_MAX)
        socket.setsockopt(zmq.LINGER, 0)
        socket.setsockopt(zmq.RECONNECT_IVL, 100)
        socket.setsockopt(zmq.RECONNECT_IVL_MAX, 1000)
        socket.setsockopt(zmq.CONNECT_TIMEOUT, 1000)
        self._set_keepalive(socket)
        if self._settings.curve_secret_key:
            server_key = self._settings.curve_server_key or self._settings.curve_public_key
            socket.curve_secretkey = self._settings.curve_secret_key.encode()
            socket.curve_publickey = self._settings.curve_public_key.encode()
            socket.curve_serverkey = server_key.encode()
        socket.connect(f"tcp://{address}")
        dealer = _Dealer(socket, self._clock.now_s())
        self._dealers[address] = dealer
        return dealer

    async def _send_all(self, context: zmq.Context[zmq.Socket[bytes]]) -> None:
        while True:
            self._flush(context)
            self._close_idle()
            self._wake_event = anyio.Event()
            if not self._queue:
                with anyio.move_on_after(IDLE_CLOSE_S / 4):
                    await self._wake_event.wait()

    def _flush(self, context: zmq.Context[zmq.Socket[bytes]]) -> None:
        while self._queue:
            queued = self._queue.popleft()
            try:
                dealer = self._dealers.get(queued.address) or self._connect(context, queued.address)
                dealer.last_used_s = self._clock.now_s()
                dealer.socket.send_multipart(queued.frames, zmq.DONTWAIT, copy=True)
            except zmq.Again:
                self.counters.dropped_peer_full += 1
            except zmq.ZMQError as error:
                self.counters.dropped_invalid += 1
                _LOG.warning(
                    "cannot send to peer %s, dropping the message: %s", queued.address, error
                )
            else:
                self.counters.sent_messages += 1
                self.counters.sent_bytes += sum(map(len, queued.frames))

    def _close_idle(self) -> None:
        idle_cutoff_s = self._clock.now_s() - IDLE_CLOSE_S
        for address in [
            a for a, dealer in self._dealers.items() if dealer.last_used_s < idle_cutoff_s
        ]:
            self._dealers.pop(address).socket.close()

    async def _receive_all(self, router: zmq.asyncio.Socket) -> None:
        while True:
            # Yields after each batch, as under load no receive blocks and other tasks would starve.
            for _ in range(RECEIVE_BATCH_MESSAGES):
                self._handle_frames(await router.recv_multipart())
            await anyio.sleep(0)

    def _handle_frames(self, frames: list[bytes]) -> None:
        self.counters.received_messages += 1
        self.counters.received_bytes += sum(map(len, frames[1:]))
        try:
            message = decode(frames[1:], self._message_bytes_max)
        except PeerError as error:
            self.counters.dropped_invalid += 1
            _LOG.warning("cannot decode a message from a peer, dropping it: %s", error)
            return
        try:
            self._on_message(message)
        except Exception:
            # A message of a member must never end the members that it reaches.
            self.counters.dropped_invalid += 1
            kind = type(message).__name__
            _LOG.exception("cannot process a %s of a peer, dropping it", kind)
