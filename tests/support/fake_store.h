#pragma once
/// \file
/// An in-memory store that can be unavailable or lose responses.

#include "lanemoor/adapters/store.h"

#include <map>
#include <memory>
#include <string>

namespace lanemoor::test {

/// State shared by all clients of one fake store.
struct FakeStoreData {
    std::map<std::string, StoredValue> values;
    bool isUnavailable = false;
    int responsesToLose = 0; ///< Number of writes that will take effect without a response.
    int writes = 0; ///< Number of writes that took effect.
};

/// \brief One client of a fake store.
class FakeStore final : public Store {
public:
    explicit FakeStore(std::shared_ptr<FakeStoreData> data);

    [[nodiscard]] std::optional<StoredValue> get(const std::string& key) override;
    [[nodiscard]] std::optional<StoredValue> watch(const std::string& key, std::uint64_t after, Millis wait) override;
    [[nodiscard]] std::optional<std::uint64_t> put(const std::string& key, const std::string& body, std::uint64_t expected) override;
    [[nodiscard]] std::optional<Lease> acquire(const std::string& name, const std::string& holder, Millis time) override;
    void release(const std::string& name, const std::string& holder) override;
    [[nodiscard]] StoreFault lastFault() const noexcept override { return m_lastFault; }

private:
    std::shared_ptr<FakeStoreData> m_data;
    StoreFault m_lastFault = StoreFault::Unreachable;
};

} // namespace lanemoor::test
