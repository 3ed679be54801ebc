#include "small_platform.h"

#include "observation.h"

#include <algorithm>
#include <arpa/inet.h>
#include <array>
#include <sys/socket.h>
#include <thread>
#include <unistd.h>

namespace lanemoor::review {

namespace {

constexpr Millis maxLease { 10'000 }; // `hold_max_ms`
constexpr std::int64_t clockAtBirth = 1'000;
constexpr int percentOfAll = 100;
constexpr int ok = 200;
constexpr int badRequest = 400;
constexpr int conflict = 409;
constexpr int misdirected = 421;

Answer answerOf(int status, const Json& body)
{
    return { .status = status, .body = body.dump() };
}

/// \returns The value of a header, whatever its case; empty if absent.
std::string headerOf(const std::string& head, const std::string& name)
{
    std::string lower = head;
    std::transform(lower.begin(), lower.end(), lower.begin(), [](unsigned char c) { return static_cast<char>(std::tolower(c)); });
    const std::size_t found = lower.find("\r\n" + name + ": ");
    if (found == std::string::npos)
        return {};
    const std::size_t begin = found + name.size() + 4;
    return head.substr(begin, head.find("\r\n", begin) - begin);
}

/// Reads until `text` has `size` bytes. \returns Whether it has.
bool readUpTo(int connection, std::string& text, std::size_t size)
{
    std::array<char, 65'536> buffer {};
    while (text.size() < size) {
        const ssize_t count = ::recv(connection, buffer.data(), buffer.size(), 0);
        if (count <= 0)
            return false;
        text.append(buffer.data(), static_cast<std::size_t>(count));
    }
    return true;
}

} // namespace

SmallServer::SmallServer(Handler handler)
    : m_handler(std::move(handler))
    , m_listener(::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0))
{
    sockaddr_in address {};
    address.sin_family = AF_INET;
    inet_pton(AF_INET, m_endpoint.ip.c_str(), &address.sin_addr);
    socklen_t size = sizeof(address);
    static_cast<void>(::bind(m_listener, reinterpret_cast<const sockaddr*>(&address), sizeof(address)));
    ::listen(m_listener, SOMAXCONN);
    ::getsockname(m_listener, reinterpret_cast<sockaddr*>(&address), &size);
    m_endpoint.port = ntohs(address.sin_port);
    std::thread([this] { accept(); }).detach();
}

void SmallServer::accept()
{
    for (int caller = ::accept4(m_listener, nullptr, nullptr, SOCK_CLOEXEC); caller >= 0; caller = ::accept4(m_listener, nullptr, nullptr, SOCK_CLOEXEC))
        std::thread([this, caller] { serve(caller); }).detach();
}

void SmallServer::serve(int caller)
{
    std::string text;
    bool isSilent = false;
    while (true) {
        std::size_t end = std::string::npos;
        while ((end = text.find("\r\n\r\n")) == std::string::npos && readUpTo(caller, text, text.size() + 1)) { }
        if (end == std::string::npos)
            break;
        const std::string head = text.substr(0, end + 2);
        const std::string length = headerOf(head, "content-length");
        const std::size_t bodyBytes = length.empty() ? 0 : std::stoul(length);
        if (!readUpTo(caller, text, end + 4 + bodyBytes))
            break;
        const std::string body = text.substr(end + 4, bodyBytes);
        text.erase(0, end + 4 + bodyBytes);
        const std::size_t space = head.find(' ');
        const std::string path = head.substr(space + 1, head.find(' ', space + 1) - space - 1);
        const std::optional<Answer> answer = m_handler(head.substr(0, space), path, headerOf(head, "expect-instance"), body);
        isSilent = isSilent || !answer; // "Once an answer is lost on a connection, that connection says nothing further."
        if (isSilent)
            continue;
        const std::string out = "HTTP/1.1 " + std::to_string(answer->status) + " X\r\nContent-Type: application/json\r\nContent-Length: " + std::to_string(answer->body.size()) + "\r\n\r\n" + answer->body;
        if (::send(caller, out.data(), out.size(), MSG_NOSIGNAL) != static_cast<ssize_t>(out.size()))
            break;
    }
    ::close(caller);
}

SmallWorker::SmallWorker(std::string id, Record& record)
    : m_id(std::move(id))
    , m_record(record)
    , m_bornAt(std::chrono::steady_clock::now())
    , m_born(nowMs())
    , m_server([this](const std::string&, const std::string& path, const std::string& expectedInstance, const std::string& body) { return handle(path, expectedInstance, body); })
{
}

Json SmallWorker::entry() const
{
    return { { "address", m_server.endpoint().text() }, { "service", "alpha" }, { "zone", "hall-0" }, { "version", "1" }, { "slots", 8 }, { "state", "ready" }, { "cold_left_ms", 0 }, { "seq", 1 }, { "capacity", { { "cpu", 4'000 }, { "mem_mb", 16'384 }, { "gpus", 0 } } }, { "labels", { "a", "rack-" + m_id } }, { "born", m_born } };
}

void SmallWorker::restart()
{
    const std::lock_guard lock(m_mutex);
    for (const auto& [task, run] : m_running)
        m_record.line(m_id + " crashes; run " + std::to_string(run.number) + " of " + task + " dies");
    ++m_life;
    m_bornAt = std::chrono::steady_clock::now();
    m_born = nowMs();
    m_fence = 0;
    m_leaseUntil = {};
    m_running.clear();
    m_settled.clear();
    m_ended.clear();
    m_lastEnd = 0;
    m_record.line(m_id + " starts again under its id: life " + std::to_string(m_life) + ", born " + std::to_string(m_born));
    m_changed.notify_all();
}

void SmallWorker::cutAnswers(bool isCut)
{
    const std::lock_guard lock(m_mutex);
    m_isCut = isCut;
    m_record.line(m_id + (isCut ? ": what it sends is lost from now on" : ": the cut has healed"));
}

std::vector<std::string> SmallWorker::running()
{
    const std::lock_guard lock(m_mutex);
    settle();
    std::vector<std::string> tasks;
    for (const auto& [task, run] : m_running)
        tasks.push_back(task);
    return tasks;
}

std::optional<Answer> SmallWorker::handle(const std::string& path, const std::string& expectedInstance, const std::string& body)
{
    std::unique_lock lock(m_mutex);
    settle();
    const unsigned life = m_life;
    const Json order = Json::parse(body, nullptr, false);
    std::optional<Answer> answer = answerOf(badRequest, Json::object());
    if (expectedInstance != m_id)
        answer = answerOf(misdirected, Json::object());
    else if (order.is_object() && isFenced(order))
        answer = answerOf(conflict, { { "clock_ms", clock() }, { "reason", "fence" } });
    else if (path == "/api/run-start")
        answer = start(order);
    else if (path == "/api/run-stop")
        answer = stop(order);
    else if (path == "/api/hold")
        answer = hold(lock, order);
    // What an earlier life was asked is not answered, nor anything behind the cut.
    return m_isCut || m_life != life ? std::nullopt : answer;
}

Answer SmallWorker::start(const Json& order)
{
    const std::string task = order.value("task", "");
    const auto number = order.value("run", std::uint64_t { 0 });
    const auto deadline = order.value("deadline_ms", std::int64_t { 0 });
    extendLease(deadline);
    const auto refused = [&](const char* reason) { return answerOf(conflict, { { "clock_ms", clock() }, { "reason", reason } }); };
    const auto known = m_running.find(task);
    if (known != m_running.end() && known->second.number == number)
        return answerOf(ok, { { "clock_ms", clock() } });
    if (m_settled[task] >= number)
        return refused("old");
    if (deadline <= clock())
        return refused("late");
    const Json payload = Json::parse(order.value("spec", ""), nullptr, false);
    const auto now = std::chrono::steady_clock::now();
    m_running[task] = { .number = number, .startedAt = now, .endsAt = now + Millis(payload.is_object() ? payload.value("ms", 0) : 0) };
    m_record.line(m_id + ", life " + std::to_string(m_life) + ": starts run " + std::to_string(number) + " of " + task + ", deadline_ms " + std::to_string(deadline) + " at clock_ms " + std::to_string(clock()));
    return answerOf(ok, { { "clock_ms", clock() } });
}

Answer SmallWorker::stop(const Json& order)
{
    const std::string task = order.value("task", "");
    std::uint64_t& settled = m_settled[task];
    settled = std::max(settled, order.value("run", std::uint64_t { 0 }));
    if (m_running.contains(task) && m_running[task].number <= settled)
        end(task, "stopped");
    return answerOf(ok, { { "clock_ms", clock() } });
}

Answer SmallWorker::hold(std::unique_lock<std::mutex>& lock, const Json& order)
{
    extendLease(order.value("deadline_ms", std::int64_t { 0 }));
    const auto acknowledged = order.value("acked_upto", std::uint64_t { 0 });
    std::erase_if(m_ended, [&](const Json& row) { return row[0].get<std::uint64_t>() <= acknowledged; });
    const auto until = std::chrono::steady_clock::now() + Millis(order.value("wait_ms", 0));
    const unsigned life = m_life;
    while (m_ended.empty() && m_life == life && std::chrono::steady_clock::now() < until) {
        m_changed.wait_for(lock, Millis(20));
        settle();
    }
    return answerOf(ok, report());
}

/// Ends what is over by now.
void SmallWorker::settle()
{
    const auto now = std::chrono::steady_clock::now();
    const std::map<std::string, Run> running = m_running;
    for (const auto& [task, run] : running) {
        if (run.endsAt <= now)
            end(task, "done");
        else if (m_leaseUntil <= now)
            end(task, "lapsed");
    }
}

void SmallWorker::end(const std::string& task, const char* how)
{
    const Run run = m_running.at(task);
    m_running.erase(task);
    m_settled[task] = std::max(m_settled[task], run.number);
    m_ended.push_back(Json::array({ ++m_lastEnd, task, run.number, how, "" }));
    m_record.line(m_id + ", life " + std::to_string(m_life) + ": run " + std::to_string(run.number) + " of " + task + " ends " + how);
    m_changed.notify_all();
}

/// "a longer one is cut to that"; "it never shortens".
void SmallWorker::extendLease(std::int64_t until)
{
    if (until <= 0)
        return;
    const auto now = std::chrono::steady_clock::now();
    m_leaseUntil = std::max(m_leaseUntil, std::min(now + Millis(until - clock()), now + maxLease));
}

bool SmallWorker::isFenced(const Json& order)
{
    const auto fence = order.value("fence", std::int64_t { 0 });
    const bool isLower = fence < m_fence;
    m_fence = std::max(m_fence, fence);
    return isLower;
}

Json SmallWorker::report() const
{
    Json running = Json::array();
    const auto now = std::chrono::steady_clock::now();
    for (const auto& [task, run] : m_running) {
        const auto passed = std::chrono::duration<double>(now - run.startedAt).count();
        const auto all = std::chrono::duration<double>(run.endsAt - run.startedAt).count();
        running.push_back(Json::array({ task, run.number, "", static_cast<int>(percentOfAll * passed / std::max(all, passed)) }));
    }
    return { { "clock_ms", clock() }, { "born", m_born }, { "running", running }, { "ended", m_ended } };
}

std::int64_t SmallWorker::clock() const
{
    return clockAtBirth + std::chrono::duration_cast<Millis>(std::chrono::steady_clock::now() - m_bornAt).count();
}

} // namespace lanemoor::review
