"""knapweeddeal.forwarderlinks: A forwarder's subscriptions to control replicas."""

import traceback

import curio

from knapweeddeal.clock import monotonic_ms
from knapweeddeal.errors import KnapweeddealError
from knapweeddeal.forwardercore import Subscription
from knapweeddeal.logs import Log
from knapweeddeal.messages.packets import ForwarderHello, RoutesRequest
from knapweeddeal.outbox import Outbox
from knapweeddeal.stream import connect
from knapweeddeal.tasks import run_until_first

__all__ = ["SUBSCRIPTION_COUNT", "maintain_subscription", "send_cold_requests"]

log = Log(prefix="forwarder")

#: Replicas that a forwarder subscribes to, so that updates go on if one fails.
SUBSCRIPTION_COUNT = 2
#: Time limit for a connection; a VM that is down doesn't answer at all, and one behind
#: a saturated link of 1.4 Mbit/s answers within 0.2 s.
CONNECT_TIMEOUT_MS = 300
#: Pause if all replicas are in use, or after a stream has ended.
RETRY_MS = 150
#: Time between reports of request counts.
REPORT_INTERVAL_MS = 500
#: Time for which a replica may have no leader before another one is tried.
MAX_STALE_MS = 1_500


async def maintain_subscription(core, selector, settings):
    """Keep one subscription, to one replica after another; never return."""
    while True:
        address = selector.acquire(monotonic_ms())
        if address is None:
            await curio.sleep(RETRY_MS / 1000)
            continue
        link = SubscriptionLink(
            core=core, selector=selector, settings=settings, address=address
        )
        stale = False
        try:
            stale = await link.run()
        except Exception as error:
            # A new stream begins with all upstreams and all routes that were missed.
            core.metrics.count("subscription_errors")
            log.warning(
                "failed to handle a message of a control replica",
                replica=address,
                error=repr(error),
                trace=traceback.format_exc(),
            )
        finally:
            selector.release_address(
                address, failed=not stale, stale=stale, now_ms=monotonic_ms()
            )
        await curio.sleep(RETRY_MS / 1000)


async def send_cold_requests(core):
    """Send the requests for permits that the forwarder has queued."""
    for message, subscription in core.pop_cold_requests(monotonic_ms()):
        await subscription.outbox.offer(message)


class SubscriptionLink:
    """Run one subscription until its stream ends."""

    __slots__ = ("_address", "_selector", "_core", "_settings", "_subscription")

    def __init__(self, *, core, selector, settings, address):
        self._core = core
        self._selector = selector
        self._settings = settings
        self._address = address
        self._subscription = None

    async def run(self):
        """Return whether the stream was closed because the replica has no leader."""
        try:
            stream = await connect(self._address, timeout_ms=CONNECT_TIMEOUT_MS)
        except KnapweeddealError as error:
            log.info("failed to connect to a control replica", error=error.describe())
            return False
        try:
            return await self._run_stream(stream)
        finally:
            await stream.close()

    async def _run_stream(self, stream):
        subscription = Subscription(address=self._address, now_ms=monotonic_ms())
        self._subscription = subscription
        core, why = self._core, "this process is stopping"
        hello = ForwarderHello(
            name=self._settings.name,
            zone=self._settings.zone,
            revision=core.routes.revision,
        )
        try:
            await stream.send(hello)
            outbox = subscription.outbox = Outbox()
            core.add_subscription(subscription)
            await run_until_first(
                self._receive_messages(stream, outbox),
                outbox.send_queued_to(stream),
                outbox.queue_heartbeats(self._settings.heartbeat_ms),
                self._report_counts(outbox),
            )
            why = "the replica has no leader"
            return True
        except KnapweeddealError as error:
            why = error.describe()
            return False
        finally:
            core.remove_subscription(subscription, why)

    async def _receive_messages(self, stream, outbox):
        core, subscription = self._core, self._subscription
        timeout_ms = self._settings.stream_timeout_ms
        while not self._is_stale():
            message = await stream.receive_within(timeout_ms)
            core.handle_message(message, subscription, monotonic_ms())
            if subscription.needs_full_routes:
                subscription.needs_full_routes = False
                await outbox.offer(RoutesRequest())

    async def _report_counts(self, outbox):
        """Report request counts if this replica is the one that receives them."""
        while True:
            await curio.sleep(REPORT_INTERVAL_MS / 1000)
            if self._core.is_report_target(self._subscription):
                self._core.expire_loads(monotonic_ms())
                counts = self._core.pop_request_counts(monotonic_ms())
                if counts is not None:
                    await outbox.offer(counts)

    def _is_stale(self):
        """Return whether the replica has no leader and another one may have one."""
        subscription, now_ms = self._subscription, monotonic_ms()
        if (
            subscription.has_leader
            or now_ms - subscription.stale_since_ms < MAX_STALE_MS
        ):
            return False
        return self._core.has_other_subscription(
            subscription
        ) and self._selector.has_available(now_ms)
