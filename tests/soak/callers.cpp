#include "callers.h"

#include "lanemoor/decisions/time.h"

#include <algorithm>
#include <array>
#include <cstdio>
#include <nlohmann/json.hpp>

namespace lanemoor::soak {

namespace {

using aio::Delivery;
using nlohmann::json;

constexpr unsigned ok = 200;
constexpr unsigned gone = 410;
constexpr unsigned unknownOutcome = 504;
constexpr Millis callTimeout { 6'000 };
constexpr Millis closeMargin { 200 }; // An unanswered call that ends this long before its deadline counts as closed by the peer.
constexpr Millis balancerInterval { 100 };
constexpr Millis balancerTimeout { 500 };
constexpr Millis retryPause { 1'000 };
constexpr std::int64_t meanPause = 80; // Milliseconds between submissions.
constexpr unsigned burstJobs = 16;
constexpr unsigned maxTries = 4;
constexpr unsigned maxSteps = 2;
constexpr unsigned maxTasks = 4;
constexpr unsigned probeTime = 50; // ms
constexpr unsigned failingOneIn = 30;
constexpr unsigned longOneIn = 15;
constexpr unsigned cancelledOneIn = 10;
constexpr unsigned triedOnceOneIn = 2;

std::int64_t now()
{
    return currentInstant().time_since_epoch().count();
}

json stepOf(unsigned tasks, unsigned number, unsigned estimate)
{
    json step { { "count", tasks }, { "cpu", 500 }, { "mem_mb", 256 }, { "est_ms", estimate } };
    if (number > 0)
        step["depends_on"] = json::array({ number - 1 });
    return step;
}

Submission classifyReply(const aio::HttpReply& reply)
{
    if (reply.delivery == Delivery::NotSent)
        return Submission::Refused;
    if (reply.delivery == Delivery::Unanswered || reply.response.status == unknownOutcome)
        return Submission::Unknown;
    return reply.response.status == ok ? Submission::Accepted : Submission::Refused;
}

} // namespace

Callers::Callers(aio::AsioEventLoop& loop, SoakCluster& cluster, GuaranteeMonitor& guarantees, std::function<void()> drainEvents)
    : m_loop(loop)
    , m_cluster(cluster)
    , m_guarantees(guarantees)
    , m_drainEvents(std::move(drainEvents))
    , m_client(loop, { .maxConnections = 256 })
    , m_balancer(loop, { .maxConnections = 2 })
    , m_random(cluster.options().seed)
{
}

void Callers::submitUntil(jobs::MonotonicInstant end)
{
    m_end = end;
    submitNext();
}

void Callers::submitNext()
{
    if (m_loop.now() >= m_end)
        return;
    const Call call = makeCall();
    ++m_counts.submitted;
    submit(call, readyEntry());
    if (happens(cancelledOneIn))
        cancelLater(call);
    const Millis pause(static_cast<std::int64_t>(m_random() % (2 * meanPause)));
    m_loop.callAt(m_loop.now() + pause, [this] { submitNext(); });
}

void Callers::burst(unsigned entry)
{
    for (unsigned i = 0; i < burstJobs; ++i) {
        ++m_counts.submitted;
        submit(makeCall(), entry);
    }
}

Callers::Call Callers::makeCall()
{
    std::array<char, 17> id {};
    std::snprintf(id.data(), id.size(), "%016llx", static_cast<unsigned long long>(m_random()));
    constexpr unsigned shortest = 50;
    constexpr unsigned spread = 500;
    constexpr unsigned extra = 3'000;
    const unsigned time = shortest + static_cast<unsigned>(m_random() % spread) + (happens(longOneIn) ? extra : 0);
    json payload { { "ms", time } };
    if (happens(failingOneIn))
        payload["fails"] = true;
    const SoakQueue& queue = soakQueues[m_random() % soakQueues.size()];
    if (queue.needsAdvice)
        payload["advised"] = true;
    SubmittedJob job { .id = id.data(), .tasks = {}, .maxAttempts = queue.maxAttempts, .queue = queue.name };
    json steps = json::array();
    const auto count = 1 + static_cast<unsigned>(m_random() % maxSteps);
    for (unsigned number = 0; number < count; ++number) {
        job.tasks.push_back(1 + static_cast<std::uint32_t>(m_random() % maxTasks));
        steps.push_back(stepOf(job.tasks.back(), number, time));
    }
    m_guarantees.noteSubmitted(job);
    m_queues[job.id] = job.queue;
    const json body { { "spec", payload.dump() }, { "steps", steps } };
    return { .id = job.id, .queue = m_queues[job.id], .body = body.dump(), .triesLeft = happens(triedOnceOneIn) ? 1 : maxTries };
}

std::string Callers::probe(unsigned entry)
{
    Call call = makeCall();
    const auto queue = std::find_if(soakQueues.begin(), soakQueues.end(), [&](const SoakQueue& known) { return known.name == call.queue; });
    const json body { { "spec", json { { "ms", probeTime }, { "advised", queue->needsAdvice } }.dump() }, { "steps", json::array({ stepOf(1, 0, probeTime) }) } };
    m_guarantees.noteSubmitted({ .id = call.id, .tasks = { 1 }, .maxAttempts = queue->maxAttempts, .queue = call.queue });
    call.body = body.dump();
    call.triesLeft = 1;
    submit(call, entry);
    return call.id;
}

void Callers::submit(const Call& call, unsigned entry)
{
    HttpRequest request { .method = "POST", .target = '/' + call.queue + '/' + call.id, .headers = {}, .body = call.body };
    request.headers.add("Content-Type", "application/json");
    send(entry, std::move(request), call.id, [this, call](const aio::HttpReply& reply) { onAnswer(call, reply); });
}

void Callers::onAnswer(Call call, const aio::HttpReply& reply)
{
    const Submission answer = classifyReply(reply);
    m_guarantees.noteAnswer(call.id, answer, now());
    m_counts.refusals += answer == Submission::Refused ? 1 : 0;
    m_counts.unknown += answer == Submission::Unknown ? 1 : 0;
    if (answer == Submission::Accepted || --call.triesLeft == 0)
        return;
    m_loop.callAt(m_loop.now() + retryPause, [this, call] { submit(call, readyEntry()); });
}

/// Half of the cancellations are sent while the submission is likely to be under way.
void Callers::cancelLater(const Call& call)
{
    constexpr std::uint64_t maxPause = 2'000;
    constexpr std::uint64_t maxShortPause = 30;
    const std::uint64_t pause = m_random() % (happens(2) ? maxShortPause : maxPause);
    m_loop.callAt(m_loop.now() + Millis(static_cast<std::int64_t>(pause)), [this, id = call.id] { cancel(id, maxTries); });
}

void Callers::cancel(const std::string& id, unsigned triesLeft)
{
    m_guarantees.noteCancelSent(id);
    HttpRequest request { .method = "DELETE", .target = '/' + m_queues[id] + '/' + id, .headers = {}, .body = {} };
    send(readyEntry(), std::move(request), id, [this, id, triesLeft](const aio::HttpReply& reply) {
        // Either status acknowledges the cancellation, also of a job whose submission is still under way.
        if (reply.delivery == Delivery::Answered && (reply.response.status == ok || reply.response.status == gone)) {
            ++m_counts.cancels;
            m_counts.absentCancels += reply.response.status == gone ? 1 : 0;
            m_guarantees.noteCancelled(id, now());
        } else if (triesLeft > 1) {
            m_loop.callAt(m_loop.now() + retryPause, [this, id, triesLeft] { cancel(id, triesLeft - 1); });
        }
    });
}

void Callers::requestUnfinishedStatuses()
{
    for (const std::string& id : m_guarantees.unfinishedJobs()) {
        if (m_statusRequests.insert(id).second)
            requestStatus(id);
    }
}

void Callers::requestStatus(const std::string& id)
{
    const HttpRequest request { .method = "GET", .target = '/' + m_queues[id] + '/' + id, .headers = {}, .body = {} };
    send(readyEntry(), request, id, [this, id](const aio::HttpReply& reply) {
        m_statusRequests.erase(id);
        if (reply.delivery != Delivery::Answered)
            return;
        m_drainEvents();
        const json body = json::parse(reply.response.body, nullptr, false);
        if (reply.response.status == gone)
            m_guarantees.noteStatus(id, {}, now());
        else if (reply.response.status == ok && body.is_object())
            m_guarantees.noteStatus(id, body.value("state", ""), now());
    });
}

void Callers::requestCounts()
{
    for (const SoakQueue& settings : soakQueues) {
        const unsigned entry = readyEntry();
        const std::string queue = settings.name;
        const HttpRequest request { .method = "GET", .target = '/' + queue + '/', .headers = {}, .body = {} };
        send(entry, request, queue, [this, entry, queue, askedAt = now()](const aio::HttpReply& reply) {
            m_drainEvents();
            const json body = json::parse(reply.response.body, nullptr, false);
            if (reply.delivery == Delivery::Answered && reply.response.status == ok && body.is_object())
                m_guarantees.noteCount(m_cluster.entries()[entry].name, queue, body.value("pending", std::uint64_t { 0 }), askedAt);
        });
    }
}

void Callers::send(unsigned entry, HttpRequest request, const std::string& id, std::function<void(const aio::HttpReply&)> done)
{
    request.headers.add("Host", names::host);
    const SoakCluster::Entry& target = m_cluster.entries()[entry];
    const jobs::MonotonicInstant deadline = m_loop.now() + callTimeout;
    m_client.send(target.front(), { .request = std::move(request), .deadline = deadline }, [this, &target, id, deadline, incarnation = target.incarnation, wasReady = target.isReady, done = std::move(done)](const aio::HttpReply& reply) {
        const bool isClosed = reply.delivery == Delivery::Unanswered && m_loop.now() + closeMargin < deadline;
        const bool mayHaveBeenKilled = target.isKilled || target.incarnation != incarnation;
        // A load balancer sends no requests to a process that reports not ready.
        if (isClosed && wasReady && !mayHaveBeenKilled)
            m_guarantees.noteClosedEarly(target.name, id, now());
        done(reply);
    });
}

void Callers::pollReadiness()
{
    for (SoakCluster::Entry& entry : m_cluster.entries()) {
        if (!entry.process)
            continue;
        const HttpRequest request { .method = "GET", .target = "/", .headers = {}, .body = {} };
        m_balancer.send(entry.readiness(), { .request = request, .deadline = m_loop.now() + balancerTimeout }, [this, &entry, incarnation = entry.incarnation](const aio::HttpReply& reply) {
            const bool isReady = reply.delivery == Delivery::Answered && reply.response.status == ok;
            if (incarnation != entry.incarnation)
                return;
            if (entry.isReady && !isReady)
                m_client.closeIdleConnections(entry.front());
            entry.isReady = isReady;
        });
    }
    m_loop.callAt(m_loop.now() + balancerInterval, [this] { pollReadiness(); });
}

unsigned Callers::readyEntry()
{
    std::vector<unsigned> ready;
    std::vector<SoakCluster::Entry>& entries = m_cluster.entries();
    for (unsigned index = 0; index < entries.size(); ++index) {
        if (entries[index].isReady)
            ready.push_back(index);
    }
    const std::uint64_t choice = m_random();
    return ready.empty() ? static_cast<unsigned>(choice % entries.size()) : ready[choice % ready.size()];
}

} // namespace lanemoor::soak
