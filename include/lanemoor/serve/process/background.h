#pragma once
/// \file
/// The background threads of an entry instance. Each class is one loop, run by one
/// thread until `SharedState::isQuitting`.

#include "lanemoor/adapters/platform.h"
#include "lanemoor/adapters/store.h"
#include "lanemoor/serve/process/shared_state.h"

#include <functional>
#include <memory>
#include <string>

namespace lanemoor {

/// Takes a document's version and body.
using DocumentTaker = std::function<void(std::uint64_t version, const std::string& body)>;

/// \brief Watches one key of the store and hands each newer document on.
class DocumentWatch {
public:
    DocumentWatch(SharedState& state, std::unique_ptr<Store> store, std::string key, DocumentTaker taker);

    void run();

private:
    SharedState& m_state;
    std::unique_ptr<Store> m_store;
    std::string m_key;
    DocumentTaker m_taker;
};

/// \brief Reads the instance list again and again, and merges all observations.
class ListPoller {
public:
    ListPoller(SharedState& state, std::unique_ptr<Platform> platform);

    void run();

private:
    SharedState& m_state;
    std::unique_ptr<Platform> m_platform;
    bool m_listAway = false;
};

/// \brief Keeps a seat among the entry instances by a lease.
///
/// A seat that was another's is used only one lease time after it was taken, so that
/// the former holder has seen that it lost it.
class SeatKeeper {
public:
    SeatKeeper(SharedState& state, std::unique_ptr<Store> store);

    void run();

private:
    void takeAny();
    void renew();
    void loseSeat(const char* reason);

    SharedState& m_state;
    std::unique_ptr<Store> m_store;
    std::optional<std::uint32_t> m_number;
    Lease m_lease;
    Instant m_usableFrom;
};

} // namespace lanemoor
