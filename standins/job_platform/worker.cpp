#include "worker.h"

#include "advisor.h"
#include "wire_text.h"

#include <algorithm>
#include <cstring>

namespace lanemoor::standin {

namespace {

using namespace jobs;
using nlohmann::json;

constexpr Millis stopTime { 100 };
constexpr Millis maxLease { 10'000 };
constexpr Millis clockAtStart { 1'000 };
constexpr std::size_t maxListedEnds = 500;
constexpr double percentScale = 100;

std::pair<std::string, std::uint64_t> runIn(const json& body)
{
    return { textIn(body, "task"), static_cast<std::uint64_t>(integerIn(body, "run")) };
}

} // namespace

Worker::Worker(EventLoop& loop, EventWriter& events, const Advisor& advisor, WorkerIdentity identity)
    : m_loop(loop)
    , m_events(events)
    , m_advisor(advisor)
    , m_identity(std::move(identity))
    , m_clockStart(loop.now() - clockAtStart)
{
}

Worker::~Worker()
{
    m_loop.cancel(m_leaseTimer);
    for (const TimerId stop : m_stops)
        m_loop.cancel(stop);
    for (const auto& [id, waiting] : m_waiting)
        m_loop.cancel(waiting.timeout);
    for (const auto& [run, progress] : m_running) {
        m_loop.cancel(progress.end);
        writeEvent("dead", run);
    }
}

void Worker::start(const json& body, const aio::HttpResponder& respond)
{
    if (isFenced(body)) {
        respond(answerConflict("fence", clock()));
        return;
    }
    const Run run = runIn(body);
    if (m_running.contains(run)) {
        respond(answerJson(status::ok, { { "clock_ms", clock() } }));
        return;
    }
    extendLease(integerIn(body, "deadline_ms"));
    if (m_settled[run.first] >= run.second)
        respond(answerConflict("old", clock()));
    else if (instantOf(integerIn(body, "deadline_ms")) <= m_loop.now())
        respond(answerConflict("late", clock()));
    else if (lacksTicket(body))
        respond(answerConflict("ticket", clock()));
    else
        respond(begin(run, body));
}

HttpResponse Worker::begin(const Run& run, const json& body)
{
    const json payload = json::parse(textIn(body, "spec"), nullptr, false);
    const Millis time(payload.is_object() ? integerIn(payload, "ms") : 0);
    const char* outcome = payload.is_object() && payload.value("fails", false) ? "failed" : "done";
    const MonotonicInstant now = m_loop.now();
    const TimerId end = m_loop.callAt(now + time, [this, run, outcome] { endRun(Run(run), outcome); });
    m_running[run] = { .checkpoint = textIn(body, "checkpoint"), .startedAt = now, .endsAt = now + time, .end = end };
    writeEvent("start", run);
    return answerJson(status::ok, { { "clock_ms", clock() } });
}

void Worker::stop(const json& body, const aio::HttpResponder& respond)
{
    if (isFenced(body)) {
        respond(answerConflict("fence", clock()));
        return;
    }
    const Run run = runIn(body);
    std::uint64_t& settled = m_settled[run.first];
    settled = std::max(settled, run.second);
    m_stops.push_back(m_loop.callAt(m_loop.now() + stopTime, [this, run] { endRun(run, "stopped"); }));
    respond(answerJson(status::ok, { { "clock_ms", clock() } }));
}

void Worker::hold(const json& body, const aio::HttpResponder& respond)
{
    if (isFenced(body)) {
        respond(answerConflict("fence", clock()));
        return;
    }
    extendLease(integerIn(body, "deadline_ms"));
    acknowledge(static_cast<std::uint64_t>(integerIn(body, "acked_upto")));
    const Millis wait(integerIn(body, "wait_ms"));
    if (wait.count() <= 0 || !m_ended.empty()) {
        respond(answerJson(status::ok, report()));
        return;
    }
    const std::uint64_t id = ++m_lastWaiting;
    const TimerId timeout = m_loop.callAt(m_loop.now() + wait, [this, id] {
        const auto found = m_waiting.find(id);
        const aio::HttpResponder due = found->second.respond;
        m_waiting.erase(found);
        due(answerJson(status::ok, report()));
    });
    m_waiting[id] = { respond, timeout };
}

void Worker::pace(const json& body, const aio::HttpResponder& respond)
{
    if (isFenced(body))
        respond(answerConflict("fence", clock()));
    else if (!m_running.contains(runIn(body)))
        respond(answerConflict("absent", clock()));
    else
        respond(answerJson(status::ok, { { "clock_ms", clock() } }));
}

bool Worker::isFenced(const json& body)
{
    const std::int64_t fence = integerIn(body, "fence");
    if (fence < m_fence)
        return true;
    m_fence = fence;
    return false;
}

bool Worker::lacksTicket(const json& body) const
{
    const json payload = json::parse(textIn(body, "spec"), nullptr, false);
    if (!payload.is_object() || !payload.value("advised", false))
        return false;
    const std::string task = textIn(body, "task");
    return !m_advisor.accepts(textIn(body, "ticket"), task.substr(0, task.rfind('.')), m_identity);
}

void Worker::extendLease(std::int64_t until)
{
    if (until == 0)
        return;
    const MonotonicInstant end = std::min(instantOf(until), m_loop.now() + maxLease);
    if (end <= m_leaseUntil)
        return;
    m_leaseUntil = end;
    m_loop.cancel(m_leaseTimer);
    m_leaseTimer = m_loop.callAt(end, [this] { expireLease(); });
}

void Worker::expireLease()
{
    m_expiredUpTo = m_lastEnd;
    while (!m_running.empty())
        endRun(Run(m_running.begin()->first), "lapsed");
}

void Worker::endRun(const Run& run, const char* outcome)
{
    const auto found = m_running.find(run);
    if (found == m_running.end())
        return;
    m_loop.cancel(found->second.end);
    m_running.erase(found);
    std::uint64_t& settled = m_settled[run.first];
    settled = std::max(settled, run.second);
    m_ended.push_back({ ++m_lastEnd, run, outcome });
    writeEvent(outcome, run);
    answerWaiting();
}

void Worker::acknowledge(std::uint64_t upTo)
{
    while (!m_ended.empty() && m_ended.front().sequence <= upTo) {
        const End& end = m_ended.front();
        if (std::strcmp(end.outcome, "done") == 0 && end.sequence > m_expiredUpTo)
            writeEvent("stored", end.run);
        else if (std::strcmp(end.outcome, "failed") == 0 && end.sequence > m_expiredUpTo)
            writeEvent("failure-stored", end.run);
        m_ended.pop_front();
    }
}

void Worker::answerWaiting()
{
    const std::map<std::uint64_t, Waiting> due = std::exchange(m_waiting, {});
    for (const auto& [id, waiting] : due) {
        m_loop.cancel(waiting.timeout);
        waiting.respond(answerJson(status::ok, report()));
    }
}

void Worker::writeEvent(const char* event, const Run& run)
{
    m_events.write(event, { { "worker", m_identity.id }, { "instance", m_identity.instance }, { "hall", m_identity.dataHall }, { "task", run.first }, { "run", run.second }, { "fence", m_fence } });
}

json Worker::report() const
{
    json running = json::array();
    for (const auto& [run, progress] : m_running) {
        const double passed = std::chrono::duration<double>(m_loop.now() - progress.startedAt).count();
        const double all = std::chrono::duration<double>(progress.endsAt - progress.startedAt).count();
        const int percent = all > 0 ? static_cast<int>(std::min(1.0, passed / all) * percentScale) : 0;
        running.push_back({ run.first, run.second, progress.checkpoint, percent });
    }
    json ended = json::array();
    for (const End& end : m_ended) {
        if (ended.size() == maxListedEnds)
            break;
        ended.push_back({ end.sequence, end.run.first, end.run.second, end.outcome, "" });
    }
    return { { "clock_ms", clock() }, { "born", m_identity.startedAt }, { "running", running }, { "ended", ended } };
}

std::int64_t Worker::clock() const
{
    return std::chrono::duration_cast<Millis>(m_loop.now() - m_clockStart).count();
}

MonotonicInstant Worker::instantOf(std::int64_t clock) const
{
    return m_clockStart + Millis(clock);
}

} // namespace lanemoor::standin
