"""HTTP calls about batch jobs."""

import asyncio
from datetime import timedelta
from http import HTTPStatus

from result import Err

from cranberryline.jobs.errors import JobProblem, JobRefused
from cranberryline.jobs.ports import ItemBodyRead, JobEnd, JobRead, PlainCall

from .handler import RETRY_AFTER, CallerHandler

__all__ = ["JobHandler"]

_MAX_WAIT = timedelta(seconds=1)
_JOB_STATUS = {
    JobProblem.UNKNOWN_JOB: HTTPStatus.NOT_FOUND,
    JobProblem.UNKNOWN_ITEM: HTTPStatus.NOT_FOUND,
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
        job = ctx.edge.read_job(call.request_id, host, self.request.path, self.request.body, now)
        if isinstance(job, Err):
            self._refuse(HTTPStatus.BAD_REQUEST, "bad_job", detail=job.unwrap_err())
            return
        # The job is kept once the store has it, so a disconnect of the caller must not cancel this.
        submitted = await asyncio.shield(ctx.jobs.async_submit(job.unwrap()))
        if isinstance(submitted, Err):
            self._refuse_job_call(submitted.unwrap_err())
            return
        self._write_json(HTTPStatus.ACCEPTED, b"{}")

    async def _async_read_job(self, call: JobRead) -> None:
        self.request_id = call.job
        page = await self.context.jobs.async_read(call.job, call.after, min(call.wait, _MAX_WAIT))
        if isinstance(page, Err):
            self._refuse_job_call(page.unwrap_err())
            return
        self._write_json(HTTPStatus.OK, self.context.edge.write_page(page.unwrap()))

    async def _async_read_item_body(self, call: ItemBodyRead) -> None:
        self.request_id = call.job
        found = await self.context.jobs.async_find(call.job)
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
        ended = await asyncio.shield(self.context.jobs.async_end(call.job))
        if isinstance(ended, Err):
            self._refuse_job_call(ended.unwrap_err())
            return
        self._write_json(HTTPStatus.OK, b"{}")

    def _refuse_job_call(self, refusal: JobRefused) -> None:
        problem = refusal.problem
        status = _JOB_STATUS[problem]
        retry_after = refusal.retry_after
        if retry_after is None and status is HTTPStatus.SERVICE_UNAVAILABLE:
            retry_after = RETRY_AFTER
        self.context.metrics.refuse(problem.value)
        self._refuse(status, problem.value, retry_after=retry_after)
