#pragma once
/// \file
/// Background loops of an entry instance. Each class is a loop that one thread runs until
/// `SharedState::isQuitting` returns true.

#include "lanemoor/adapters/platform.h"
#include "lanemoor/adapters/store.h"
#include "lanemoor/serve/process/shared_state.h"

#include <functional>
#include <memory>
#include <string>

namespace lanemoor {

/// Called with the version and body of a document.
using DocumentCallback = std::function<void(std::uint64_t version, const std::string& body)>;

/// \brief Watches one key of the store and passes each newer document to a callback.
class DocumentWatch {
public:
    DocumentWatch(SharedState& state, std::unique_ptr<Store> store, std::string key, DocumentCallback callback);

    void run();

private:
    SharedState& m_state;
    std::unique_ptr<Store> m_store;
    std::string m_key;
    DocumentCallback m_callback;
};

/// \brief Polls the instance list and merges all observations.
class ListPoller {
public:
    ListPoller(SharedState& state, std::unique_ptr<Platform> platform);

    void run();

private:
    SharedState& m_state;
    std::unique_ptr<Platform> m_platform;
    bool m_listUnavailable = false;
};

/// \brief Holds one of the entry shards by a lease.
///
/// A shard taken over from another holder is used only after one more lease duration, so that
/// the previous holder has detected the loss.
class ShardLeaseManager {
public:
    ShardLeaseManager(SharedState& state, std::unique_ptr<Store> store);

    void run();

private:
    void acquireAnyShard();
    void renew();
    void dropShard(const char* reason);

    SharedState& m_state;
    std::unique_ptr<Store> m_store;
    std::optional<std::uint32_t> m_number;
    Lease m_lease;
    Instant m_usableFrom;
};

} // namespace lanemoor
