"""Exceptions raised by damaskpin."""


class DamaskpinError(Exception):
    """Base class of all errors raised by damaskpin."""


class SettingsError(DamaskpinError):
    """A setting is unknown, missing or out of range."""


class ConfigError(DamaskpinError):
    """A configuration document is invalid.

    :param problems: one message for each problem, with its document path.
    """

    def __init__(self, problems: list[str]) -> None:
        super().__init__('; '.join(problems))
        self.problems = problems


class RequestError(DamaskpinError):
    """A caller's request is refused before any of it is run.

    :param status: HTTP status code.
    :param title: short summary of the problem type.
    :param detail: explanation of this occurrence.
    :param retry_after: seconds after which a retry may succeed, or ``None``.
    """

    def __init__(
        self,
        status: int,
        title: str,
        detail: str = '',
        retry_after: float | None = None,
    ) -> None:
        super().__init__(detail or title)
        self.status = status
        self.title = title
        self.detail = detail
        self.retry_after = retry_after


class PeerError(DamaskpinError):
    """A call to another damaskpin process failed."""


class PeerUnreachableError(PeerError):
    """No connection to the peer; the message was certainly not delivered."""


class PeerTimeoutError(PeerError):
    """No reply arrived in time; the message may have been delivered."""


class FrameError(PeerError):
    """A frame is malformed or its authentication code does not match."""


class FrameSizeError(FrameError):
    """A frame is larger than its receiver accepts; it was not sent.

    :param size: length of the frame in bytes.
    """

    def __init__(self, size: int) -> None:
        super().__init__(f'frame of {size} bytes is too large')
        self.size = size


class StoreError(DamaskpinError):
    """A call to the store failed."""


class StoreUnavailableError(StoreError):
    """The store refused the call or is unreachable; nothing was written."""


class StoreLeaseError(StoreUnavailableError):
    """The lease does not exist or has expired; nothing was written."""


class StoreUncertainError(StoreError):
    """The store did not answer; a write may have taken effect."""


class StoreSlowAnswerError(StoreUncertainError):
    """An answer of the store began and did not arrive as a whole in time."""


class WorkerError(DamaskpinError):
    """The worker refused an operation on a task."""


class WorkerUnavailableError(WorkerError):
    """The worker did not answer; the operation may have taken effect."""


class TargetError(DamaskpinError):
    """A target did not answer as its protocol requires."""


class StoreCompactedError(StoreError):
    """The store has compacted the revisions that a watch requested."""


class StoreRefusedError(StoreUnavailableError):
    """The store rejected the call as invalid; nothing was written."""


class CallError(DamaskpinError):
    """An HTTP call got no complete answer.

    :param reason: description of the failure.
    :param sent: whether the server may have received the call.
    :param refused: whether the server's machine refused a connection, which
        it does only while no process listens at the address.
    :param begun: whether a part of the answer has arrived.
    """

    def __init__(
        self,
        reason: str,
        sent: bool,
        refused: bool = False,
        begun: bool = False,
    ) -> None:
        super().__init__(reason)
        self.begun = begun
        self.sent = sent
        self.refused = refused


class CallRefusedError(CallError):
    """The server does not serve an HTTP call now and has not carried it out.

    :param status: HTTP status of the answer.
    """

    def __init__(self, status: int) -> None:
        super().__init__(f'status {status}', False)
        self.status = status


class MalformedError(DamaskpinError):
    """A document or message from outside damaskpin is malformed."""
