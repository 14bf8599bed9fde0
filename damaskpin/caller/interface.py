"""Interface between the HTTP handlers and the entry that serves them."""

from __future__ import annotations

from typing import Any
from typing import Protocol
from typing import TYPE_CHECKING

import msgspec

from damaskpin.model import config as configs
from damaskpin.model import job as jobs

if TYPE_CHECKING:
    from damaskpin import verdict as verdicts


class ServiceRequest(msgspec.Struct, frozen=True, kw_only=True):
    """Service request of a caller, decoded from HTTP.

    :ivar account: client account of the caller.
    :ivar idempotent: whether the request may safely run more than once.
    :ivar key: value of ``Idempotency-Key``; empty for none.
    :ivar deadline_seconds: seconds after which the caller stops waiting.
    :ivar trace: W3C trace context; empty for none.
    """

    account: configs.Account
    service: str
    body: bytes
    content_type: str
    idempotent: bool
    key: str
    priority: jobs.Priority
    deadline_seconds: float
    trace: str


class Reply(msgspec.Struct, frozen=True):
    """Response to a caller or an operator.

    :ivar document: body; bytes are sent unchanged, other values as JSON.
    :ivar headers: additional headers of the response.
    """

    status: int
    document: Any
    headers: dict[str, str] = {}
    content_type: str = 'application/json'


class EntryInterface(Protocol):
    """Operations of an entry that the HTTP handlers call."""

    def authenticate(
        self, header: str, forwarded_account: str = ''
    ) -> configs.Account: ...

    async def run_service_request(
        self, call: ServiceRequest
    ) -> tuple[str, verdicts.Verdict]: ...

    def cancel_service_request(self, call: ServiceRequest) -> None: ...

    def issue_key(self, account: configs.Account, service: str) -> Reply: ...

    async def submit_detached_job(
        self, account: configs.Account, spec: jobs.JobSpec, key: str
    ) -> Reply: ...

    async def run_attached_job(
        self, account: configs.Account, spec: jobs.JobSpec, key: str
    ) -> tuple[str, verdicts.Verdict]: ...

    async def read_job(
        self, account: str, job_id: str, forwarded: bool = False
    ) -> Reply: ...

    async def cancel_job(
        self, account: str, job_id: str, forwarded: bool = False
    ) -> Reply: ...

    def list_jobs(self, account: str) -> Reply: ...

    async def explain(
        self, account: str, work: str, forwarded: bool = False
    ) -> Reply: ...

    def list_members(self) -> Reply: ...

    def read_config(self) -> Reply: ...

    async def propose_config(
        self, body: bytes, revision: int, token: str
    ) -> Reply: ...

    async def settle_change(self, token: str) -> Reply: ...

    def list_revisions(self) -> Reply: ...

    def render_report(self, form: str) -> Reply: ...

    def render_metrics(self) -> bytes: ...

    def check_readiness(self) -> tuple[bool, str]: ...

    def drain(self) -> None: ...

    def require_operator_token(self, header: str) -> None: ...

    def count_http_request(self) -> None: ...

    def require_peer_token(self, header: str) -> None: ...
