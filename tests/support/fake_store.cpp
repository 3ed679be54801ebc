#include "support/fake_store.h"

#include <utility>

namespace lanemoor::test {

FakeStore::FakeStore(std::shared_ptr<FakeStoreData> data)
    : m_data(std::move(data))
{
}

std::optional<StoredValue> FakeStore::get(const std::string& key)
{
    m_lastFault = m_data->isUnavailable ? StoreFault::Unreachable : StoreFault::NotFound;
    const auto found = m_data->values.find(key);
    if (m_data->isUnavailable || found == m_data->values.end())
        return std::nullopt;
    return found->second;
}

std::optional<StoredValue> FakeStore::watch(const std::string& key, std::uint64_t after, Millis)
{
    std::optional<StoredValue> value = get(key);
    return value && value->version > after ? value : std::nullopt;
}

std::optional<std::uint64_t> FakeStore::put(const std::string& key, const std::string& body, std::uint64_t expected)
{
    m_lastFault = StoreFault::Unreachable;
    if (m_data->isUnavailable)
        return std::nullopt;
    StoredValue& value = m_data->values[key];
    m_lastFault = StoreFault::Conflict;
    if (value.version != expected)
        return std::nullopt;
    ++value.version;
    value.body = body;
    ++m_data->writes;
    m_lastFault = StoreFault::NoAnswer;
    if (m_data->responsesToLose == 0)
        return value.version;
    --m_data->responsesToLose;
    return std::nullopt;
}

std::optional<Lease> FakeStore::acquire(const std::string&, const std::string&, Millis)
{
    return std::nullopt;
}

void FakeStore::release(const std::string&, const std::string&) { }

} // namespace lanemoor::test
