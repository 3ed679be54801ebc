#pragma once
/// \file
/// Workers and a fleet interface of the case itself: a worker can start again under its id, and can be cut off.

#include "harness.h"

#include <condition_variable>
#include <functional>
#include <map>

namespace lanemoor::review {

/// \brief An HTTP server on loopback with a thread for each connection. Its threads live until this program ends.
class SmallServer {
public:
    /// \returns The answer; nothing: the connection says nothing more.
    using Handler = std::function<std::optional<Answer>(const std::string& method, const std::string& path, const std::string& expectedInstance, const std::string& body)>;

    explicit SmallServer(Handler handler);

    [[nodiscard]] Endpoint endpoint() const { return m_endpoint; }

private:
    void accept();
    void serve(int caller);

    Handler m_handler;
    Endpoint m_endpoint { "127.0.0.1", 0 };
    int m_listener = -1;
};

/// \brief A worker as PROTOCOL.md has it. Tasks take the time in their payload; nothing is saved.
class SmallWorker {
public:
    SmallWorker(std::string id, Record& record);

    [[nodiscard]] const std::string& id() const { return m_id; }

    /// \returns The entry that this worker keeps in the store.
    [[nodiscard]] Json entry() const;

    /// \brief Ends this life and begins the next one under the same id. All that ran dies.
    void restart();

    /// \brief From now on orders arrive, and nothing that the worker sends does.
    void cutAnswers(bool isCut);

    /// \returns Names of the tasks that run now.
    [[nodiscard]] std::vector<std::string> running();

private:
    struct Run {
        std::uint64_t number = 0;
        std::chrono::steady_clock::time_point startedAt;
        std::chrono::steady_clock::time_point endsAt;
    };

    std::optional<Answer> handle(const std::string& path, const std::string& expectedInstance, const std::string& body);
    Answer start(const Json& order);
    Answer stop(const Json& order);
    Answer hold(std::unique_lock<std::mutex>& lock, const Json& order);
    void settle();
    void end(const std::string& task, const char* how);
    void extendLease(std::int64_t until);
    [[nodiscard]] bool isFenced(const Json& order);
    [[nodiscard]] Json report() const;
    [[nodiscard]] std::int64_t clock() const;

    std::string m_id;
    Record& m_record;
    std::mutex m_mutex;
    std::condition_variable m_changed;
    std::chrono::steady_clock::time_point m_bornAt; ///< The clock of a life begins with it.
    std::int64_t m_born = 0;
    unsigned m_life = 1;
    bool m_isCut = false;
    std::int64_t m_fence = 0;
    std::chrono::steady_clock::time_point m_leaseUntil;
    std::map<std::string, Run> m_running;
    std::map<std::string, std::uint64_t> m_settled; ///< The highest run that was stopped or ended here, by task.
    std::vector<Json> m_ended;
    std::uint64_t m_lastEnd = 0;
    SmallServer m_server; ///< Last: it serves as soon as it exists.
};

} // namespace lanemoor::review
