"""HTTP calls about batch jobs."""

import asyncio
from datetime import timedelta
from http import HTTPStatus

from result import Err, Ok

from cranberryline.dispatch.errors import RefusalReason
from cranberryline.helpers.request_screen import MEMORY_FULL
from cranberryline.jobs.codec import decoded_size
from cranberryline.jobs.errors import JobProblem, JobRefused
from cranberryline.jobs.ports import ItemBodyRead, JobEnd, JobRead, PlainCall
from cranberryline.routes import RouteTable
from cranberryline.workspaces import KeyProblem

from .access import async_wait_for_routes, identify
from .handler import RETRY_AFTER, CallerHandler

__all__ = ["JobHandler"]

_MAX_WAIT = timedelta(seconds=1)
_JOB_STATUS = {
    JobProblem.UNKNOWN_JOB: HTTPStatus.NOT_FOUND,
    JobProblem.UNKNOWN_ITEM: HTTPStatus.NOT_FOUND,
    JobProblem.OTHER_OWNER: HTTPStatus.CONFLICT,
    JobProblem.UNCERTAIN: HTTPStatus.SERVICE_UNAVAILABLE,
    JobProblem.NOT_STORED: HTTPStatus.SERVICE_UNAVAILABLE,
    JobProblem.MAY_BE_STORED: HTTPStatus.GATEWAY_TIMEOUT,
}


class JobHandler(CallerHandler):
    """Submits, reads and ends jobs."""

    async def _async_submit_job(self, call: PlainCall, host: str) -> None:
        ctx = self.context
        if self.request.method != "POST":
            self._refuse(HTTPStatus.BAD_REQUEST, "bad_request", detail="a job is submitted by POST")
            return
        now = ctx.clock.now().timestamp()
        workspace = self.workspace or ""
        holding = ctx.memory.open()
        if not holding.grow(decoded_size(self.request.body)):
            ctx.metrics.refuse(MEMORY_FULL.reason)
            self._refuse(
                MEMORY_FULL.status, MEMORY_FULL.reason, retry_after=MEMORY_FULL.retry_after
            )
            return
        job = ctx.edge.read_job(
            call.request_id, host, self.request.path, self.request.body, now, workspace
        )
        self.request.body = b""
        if isinstance(job, Err):
            holding.release()
            self._refuse(HTTPStatus.BAD_REQUEST, "bad_job", detail=job.unwrap_err())
            return
        # The job is kept once the store has it, so a disconnect of the caller must not cancel this.
        submitting = asyncio.ensure_future(ctx.jobs.async_submit(job.unwrap()))
        submitting.add_done_callback(lambda _: holding.release())
        del job
        submitted = await asyncio.shield(submitting)
        if isinstance(submitted, Err):
            self._refuse_job_call(submitted.unwrap_err())
            return
        self._count_for_workspace("accepted")
        self._write_json(HTTPStatus.ACCEPTED, b"{}")

    async def _async_read_job(self, call: JobRead) -> None:
        self.request_id = call.job
        if not await self._async_identify_for_job(call.job):
            return
        wait = min(call.wait, _MAX_WAIT)
        page = await self.context.jobs.async_read(call.job, call.after, wait, self.workspace)
        if isinstance(page, Err):
            self._refuse_job_call(page.unwrap_err())
            return
        self._write_json(HTTPStatus.OK, self.context.edge.write_page(page.unwrap()))

    async def _async_read_item_body(self, call: ItemBodyRead) -> None:
        self.request_id = call.job
        if not await self._async_identify_for_job(call.job):
            return
        found = await self.context.jobs.async_find(call.job, self.workspace)
        if isinstance(found, Err):
            self._refuse_job_call(found.unwrap_err())
            return
        item = found.unwrap().item(call.item)
        if item is None:
            self._refuse_job_call(JobRefused(JobProblem.UNKNOWN_ITEM))
            return
        self.set_header("Content-Type", "application/octet-stream")
        self._finish_body(item[1].body)

    async def _async_end_job(self, call: JobEnd) -> None:
        self.request_id = call.job
        if not await self._async_identify_for_job(call.job):
            return
        ended = await asyncio.shield(self.context.jobs.async_end(call.job, self.workspace))
        if isinstance(ended, Err):
            self._refuse_job_call(ended.unwrap_err())
            return
        self._write_json(HTTPStatus.OK, b"{}")

    async def _async_wait_for_routes(self) -> RouteTable | None:
        return await async_wait_for_routes(self.context, self._started_at)

    async def _async_identify_for_job(self, job_id: str) -> bool:
        """Set the workspace of a call about a job, or refuse the call and return False.

        A job of a public route needs no key. Whether the job exists is only looked up in this
        gateway's copy, so that callers without a key cause no calls to the store.
        """
        table = await self._async_wait_for_routes()
        if table is None:
            self._refuse_with_retry(RefusalReason.NOT_READY.value)
            return False
        state = self.context.jobs.book.jobs.get(job_id)
        route = None if state is None else table.match(state.head.host, state.head.path)
        return (route is not None and route.public) or self._identify(table)

    def _identify(self, table: RouteTable) -> bool:
        """Set the workspace that the caller's key belongs to, or refuse and return False."""
        found = identify(self.context, table, self.request.headers)
        if isinstance(found, Ok):
            self.workspace = found.unwrap()
            return True
        problem = found.unwrap_err()
        if problem is KeyProblem.UNCONFIRMED:
            self._refuse_with_retry(problem.value)
            return False
        self.context.metrics.refuse(problem.value)
        self._refuse(HTTPStatus.UNAUTHORIZED, problem.value)
        return False

    def _refuse_job_call(self, refusal: JobRefused) -> None:
        problem = refusal.problem
        status = _JOB_STATUS[problem]
        retry_after = refusal.retry_after
        if retry_after is None and status is HTTPStatus.SERVICE_UNAVAILABLE:
            retry_after = RETRY_AFTER
        self.context.metrics.refuse(problem.value)
        self._refuse(status, problem.value, retry_after=retry_after)
