"""knapweeddeal.platform.publisher: Publication of operators' documents."""

import hashlib

import curio

from knapweeddeal.clock import monotonic_us
from knapweeddeal.commandrecords import prepare_publication
from knapweeddeal.configurationstate import failure_answer
from knapweeddeal.errors import (
    BadMessageError,
    InvalidIntentError,
    KnapweeddealError,
    NoQuorumError,
)
from knapweeddeal.logs import Log
from knapweeddeal.messages.operator import FailureAnswer
from knapweeddeal.messages.packets import PublishAnswer
from knapweeddeal.platform.configurations import decode_configuration
from knapweeddeal.record import Record

__all__ = ["Publisher"]

log = Log(prefix="api")

#: Maximum number of documents that are decoded or replicated at the same time.
MAX_RUNNING = 16
#: Maximum number of decoded documents kept for calls that send them again.
MAX_PREPARED = 2
#: Maximum number of documents whose validity is remembered.
MAX_VERDICTS = 1_024
DIGEST_BYTES = 32


class Summary(Record):
    """Describe a valid document; `routes` is their number."""

    __slots__ = ("revision", "routes")


def _summary(configuration):
    return Summary(revision=configuration.revision, routes=len(configuration.routes))


class Publisher:
    """Publish documents; a call with the same bytes joins the work on them.

    The work goes on after the call that started it has timed out. Otherwise a document
    that takes longer than the timeout would start over with each call.
    """

    __slots__ = (
        "_decoding",
        "_metrics",
        "_prepared",
        "_replica",
        "_running",
        "_send_request",
        "_verdicts",
    )

    def __init__(self, *, send_request, replica, metrics):
        self._send_request = send_request
        self._replica = replica
        self._metrics = metrics
        #: Documents are decoded one after another, as each may take much memory.
        self._decoding = curio.Lock()
        #: Tasks by the digest of the document.
        self._running = {}
        #: Decoded publications that aren't confirmed yet, by digest.
        self._prepared = {}
        #: Summary of each valid document and FailureAnswer of each invalid one.
        self._verdicts = {}

    async def publish(self, body):
        """Return the answer to a document: a PublishAnswer or FailureAnswer.

        Raises NotLeaderError, and NoQuorumError if too many documents are waiting.
        """
        digest = hashlib.blake2b(body, digest_size=DIGEST_BYTES).digest()
        answer = self._known_answer(digest, body)
        if answer is None:
            answer = await self._answer_of_task(digest, body)
        else:
            self._metrics.count("publications_known")
        summary = self._verdicts.get(digest)
        if isinstance(summary, Summary) and isinstance(answer, PublishAnswer):
            log.info(
                "confirmed a published configuration",
                revision=summary.revision,
                routes=summary.routes,
                in_force=answer.revision,
            )
        return answer

    async def _answer_of_task(self, digest, body):
        # Only the leader can use a decoded document.
        self._replica.check_leader()
        task = self._running.get(digest)
        if task is None:
            task = await self._start(digest, body)
        else:
            self._metrics.count("publications_joined")
        await task.wait()
        return task.result

    def _known_answer(self, digest, body):
        """Return the answer if it needs neither decoding nor the log, else None."""
        in_force = self._replica.packets
        # `document` may also hold the INI file of a publication by command line.
        if body == in_force.document and body.lstrip().startswith(b"{"):
            self._remember(digest, _summary(in_force))
        verdict = self._verdicts.get(digest)
        if verdict is None or isinstance(verdict, FailureAnswer):
            return verdict
        if verdict.revision <= in_force.revision:
            return PublishAnswer(revision=in_force.revision)
        return None

    async def _start(self, digest, body):
        if len(self._running) >= MAX_RUNNING:
            raise NoQuorumError("too many documents are being published")
        task = await curio.spawn(self._run, digest, body, daemon=True)
        self._running[digest] = task
        return task

    async def _run(self, digest, body):
        try:
            publication = self._prepared.get(digest)
            if publication is None:
                publication = await self._prepare(digest, body)
            answer = await self._send_request(publication)
        except KnapweeddealError as error:
            return failure_answer(error)
        finally:
            del self._running[digest]
        if not isinstance(answer, FailureAnswer):
            self._prepared.pop(digest, None)
        return answer

    async def _prepare(self, digest, body):
        """Return the publication of a document, decoded in a thread.

        In the event loop, heartbeats of this replica would wait for it.
        """
        async with self._decoding:
            started_us = monotonic_us()
            try:
                publication = await curio.run_in_thread(_prepare, body)
            except (BadMessageError, InvalidIntentError) as error:
                self._remember(digest, failure_answer(error))
                raise
            elapsed_us = monotonic_us() - started_us
        configuration = publication.command.record.configuration
        self._metrics.record_us("publication_prepare", elapsed_us)
        log.info(
            "decoded a configuration",
            revision=configuration.revision,
            routes=len(configuration.routes),
            bytes=len(body),
            elapsed_ms=elapsed_us // 1_000,
        )
        self._remember(digest, _summary(configuration))
        self._prepared[digest] = publication
        if len(self._prepared) > MAX_PREPARED:
            del self._prepared[next(iter(self._prepared))]
        return publication

    def _remember(self, digest, verdict):
        self._verdicts[digest] = verdict
        if len(self._verdicts) > MAX_VERDICTS:
            del self._verdicts[next(iter(self._verdicts))]


def _prepare(body):
    return prepare_publication(decode_configuration(body))
