"""Steps of a job from the trainer's request to the acknowledgement."""

import asyncio
import types

import orjson
import pytest
from shallotstand.core.clock import SystemClock
from shallotstand.core.codes import ResultCode
from shallotstand.core.failure import Failure
from shallotstand.entry import rollout_service, scorer
from shallotstand.entry.rollout_service import JobService, RolloutService
from shallotstand.link.messages import (
    EndpointLoad,
    Frame,
    RetainedSample,
    SampleOffer,
    Span,
)
from shallotstand.objects.types import (
    Catalog,
    ModelVersion,
    RolloutJob,
    Service,
)
from shallotstand.standins.object_store import StandinObjectStore

JOB = RolloutJob("job", "acct", "drafts", 2, 2, 1, "marks", "", 60.0)
GROUPS = [{"prompt": "a", "max_tokens": 2}, {"prompt": "b"}]


def make_service(name, kind, model="", path=""):
    return Service(
        name, kind, model, path, False, False, (), True, (), 0, 0, 9, 9.0
    )


CATALOG = Catalog.empty()._replace(
    services_by_name={
        "drafts": make_service("drafts", "model", "drafts"),
        "marks": make_service("marks", "plain", path="/marks"),
    },
    versions_by_name={
        f"v{n}": ModelVersion(f"v{n}", "drafts", n, "") for n in range(1, 9)
    },
    jobs_by_name={"job": JOB},
)


class FakeLease:
    def __init__(self, epoch, held=True):
        self.epoch = epoch
        self.is_held = held
        self.time_left_s = 7.0
        self.holder_address = "127.0.0.1:7"

    async def wait_until_held(self):
        await asyncio.Event().wait()


class FakeFleet:
    def __init__(self):
        self.version = "v1"
        self.released = []

    def endpoints(self, name):
        report = EndpointLoad("e1", slots=8, version=self.version)
        return {"e1": types.SimpleNamespace(report=report)}

    def request_samples(self, job):
        pass

    def release_samples(self, job, step):
        self.released.append((job, step))


class FakeGateway:
    """Answers completion and scoring requests; some answers can be bad."""

    def __init__(self, fleet):
        self.catalog = CATALOG
        self.fleet = fleet
        self.requests = []
        self.scores = 0
        self.bad_scores = []
        self.answers_without_version = 0

    async def serve(self, request):
        await asyncio.sleep(0)
        if request.path == "/marks":
            self.scores += 1
            bad = self.bad_scores.pop(0) if self.bad_scores else None
            if bad == "hangs":
                await asyncio.sleep(60)
            if bad == "fails":
                return Failure(ResultCode.LINK_LOST, "")
            body = b'{"score": 0.5}' if bad is None else b"no score"
            return self.answer(Frame(1, 200, data=body, end=True))
        self.requests.append(request)
        version = self.fleet.version
        if self.answers_without_version > 0:
            self.answers_without_version -= 1
            version = ""
        text = orjson.dumps({"choices": [{"text": request.request_id}]})
        return self.answer(
            Frame(1, 200, data=text, end=True, spans=(Span(version, 2),))
        )

    def answer(self, frame):
        stream = types.SimpleNamespace(head=frame, last=frame)
        return types.SimpleNamespace(
            stream=stream, status=200, close=lambda: None
        )


@pytest.fixture(autouse=True)
def short_delays(monkeypatch):
    monkeypatch.setattr(scorer, "_RETRY_DELAY_S", 0.001)
    monkeypatch.setattr(scorer, "CALL_TIMEOUT_S", 0.05)
    monkeypatch.setattr(rollout_service, "_RETRY_MIN_S", 0.001)
    monkeypatch.setattr(rollout_service, "_STRAGGLER_CHECK_S", 0.01)
    monkeypatch.setattr(rollout_service, "RETAINED_SAMPLES_WAIT_S", 0.05)


def holder(store, epoch=1):
    fleet = FakeFleet()
    gateway = FakeGateway(fleet)
    job = JobService(
        JOB, store, FakeLease(epoch), gateway, fleet, SystemClock()
    )
    return job, gateway, fleet


def run(check):
    async def body():
        async with asyncio.timeout(10):
            await check()

    asyncio.run(body())


def test_step_goes_from_post_to_acknowledgement():
    async def check():
        job, gateway, fleet = holder(StandinObjectStore())
        assert await job.post(0, GROUPS) is None
        assert await job.post(0, GROUPS) is None
        step = await job.fetch(0, 5)
        samples = orjson.loads(step.body)["samples"]
        assert [s["score"] for s in samples] == [0.5] * 4
        assert len(gateway.requests) == 4
        assert all(r.retain and r.account == "acct" for r in gateway.requests)
        assert await job.acknowledge(0, step.digest) is None
        assert fleet.released == [("job", 0)]
        again = await job.fetch(0, 5)
        assert again.code == ResultCode.STEP_ACKNOWLEDGED

    run(check)


@pytest.mark.parametrize("bad", ["fails", "hangs", "nonsense"])
def test_step_waits_for_a_scorer_that_does_not_answer(bad):
    # Each sample needs a score, and its text must not be generated again.
    async def check():
        job, gateway, _ = holder(StandinObjectStore())
        gateway.bad_scores = [bad] * 5
        await job.post(0, GROUPS)
        step = await job.fetch(0, 5)
        assert len(orjson.loads(step.body)["samples"]) == 4
        assert len(gateway.requests) == 4
        assert gateway.scores == 9

    run(check)


def test_sample_without_a_version_is_generated_again():
    async def check():
        job, gateway, _ = holder(StandinObjectStore())
        gateway.answers_without_version = 3
        await job.post(0, GROUPS)
        step = await job.fetch(0, 5)
        spans = [s["weight_spans"] for s in orjson.loads(step.body)["samples"]]
        assert spans == [[{"version": "v1", "tokens": 2}]] * 4
        assert len(gateway.requests) == 7

    run(check)


def test_step_that_became_stale_is_generated_anew():
    async def check():
        job, _, fleet = holder(StandinObjectStore())
        await job.post(0, GROUPS)
        old = await job.fetch(0, 5)
        fleet.version = "v4"
        refused = await job.acknowledge(0, old.digest)
        assert refused.code == ResultCode.STEP_RESEALED
        new = await job.fetch(0, 5)
        assert orjson.loads(new.body)["generation"] == 2
        assert await job.acknowledge(0, new.digest) is None

    run(check)


@pytest.mark.parametrize("kept", [4, 3])
def test_new_holder_hands_over_retained_samples_or_opens_a_generation(kept):
    async def check():
        store = StandinObjectStore()
        first, gateway, _ = holder(store)
        await first.post(0, GROUPS)
        old = await first.fetch(0, 5)
        second, later, _ = holder(store, 2)
        await second.post(0, GROUPS)
        service = RolloutService()
        service.jobs_by_name["job"] = second
        offer = [
            RetainedSample(
                r.request_id,
                orjson.dumps({"choices": [{"text": r.request_id}]}),
                (Span("v1", 2),),
                0,
                0,
            )
            for r in gateway.requests[:kept]
        ]
        service.receive_offer(SampleOffer(tuple(offer)))
        new = await second.fetch(0, 5)
        assert len(later.requests) == 4 - kept
        assert later.scores == 4 - kept
        assert (new == old) == (kept == 4)
        refused = await first.acknowledge(0, old.digest)
        assert refused.code == ResultCode.NOT_JOB_HOLDER

    run(check)


def test_entry_that_does_not_hold_the_job_names_the_holder():
    async def check():
        job, *_ = holder(StandinObjectStore())
        job.lease.is_held = False
        for refused in (
            await job.post(0, GROUPS),
            await job.fetch(0, 1),
            await job.acknowledge(0, "x"),
        ):
            assert refused == Failure(ResultCode.NOT_JOB_HOLDER, "127.0.0.1:7")

    run(check)
