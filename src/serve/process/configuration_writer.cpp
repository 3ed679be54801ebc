#include "lanemoor/serve/process/configuration_writer.h"

#include "lanemoor/serve/process/shared_state.h"

#include <utility>

namespace lanemoor {

namespace {

constexpr int maxEditAttempts = 5;
constexpr int readBackAttempts = 3;

} // namespace

ConfigurationWriter::ConfigurationWriter(Store& store, std::function<std::string()> changeIds)
    : m_store(store)
    , m_changeIds(std::move(changeIds))
{
}

ChangeResult ConfigurationWriter::replace(std::string_view text, std::uint64_t base)
{
    ConfigurationReader reader;
    std::optional<Configuration> configuration = reader.read(text, base);
    if (!configuration)
        return ChangeFaulty { reader.faults() };
    return write(std::move(*configuration), base);
}

ChangeResult ConfigurationWriter::edit(const std::function<void(Configuration&)>& edit)
{
    ChangeResult result = ChangeOutcomeUnknown {};
    for (int attempt = 0; attempt < maxEditAttempts; ++attempt) {
        const std::optional<StoredValue> stored = m_store.get(std::string(configurationKey));
        if (!stored)
            return ChangeOutcomeUnknown {};
        ConfigurationReader reader;
        std::optional<Configuration> configuration = reader.read(stored->body, stored->version);
        if (!configuration)
            return ChangeFaulty { reader.faults() };
        edit(*configuration);
        result = write(std::move(*configuration), stored->version);
        if (!std::holds_alternative<ChangeConflict>(result))
            return result;
    }
    return result;
}

ChangeResult ConfigurationWriter::write(Configuration configuration, std::uint64_t base)
{
    configuration.changeId = m_changeIds();
    const std::string body = formatConfiguration(configuration);
    if (const std::optional<std::uint64_t> revision = m_store.put(std::string(configurationKey), body, base))
        return ChangeAccepted { *revision };
    if (m_store.lastFault() == StoreFault::Unreachable)
        return ChangeOutcomeUnknown {};
    return readBackOutcome(configuration.changeId);
}

ChangeResult ConfigurationWriter::readBackOutcome(const std::string& changeId)
{
    for (int attempt = 0; attempt < readBackAttempts; ++attempt) {
        const std::optional<StoredValue> stored = m_store.get(std::string(configurationKey));
        if (!stored)
            continue;
        ConfigurationReader reader;
        const std::optional<Configuration> found = reader.read(stored->body, stored->version);
        if (found && found->changeId == changeId)
            return ChangeAccepted { stored->version };
        return ChangeConflict { stored->version };
    }
    return ChangeOutcomeUnknown {};
}

} // namespace lanemoor
