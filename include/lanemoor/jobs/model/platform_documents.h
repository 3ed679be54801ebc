#pragma once
/// \file
/// Keys and formats of the documents that the platform writes to the store.

#include "lanemoor/jobs/model/service_configuration.h"

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

namespace lanemoor::jobs {

/// \brief Keys and codecs of documents that the platform, workers and operators write to the store. Unreadable documents yield nothing.
class PlatformDocuments {
public:
    virtual ~PlatformDocuments() = default;

    /// \name Keys
    ///@{
    [[nodiscard]] virtual std::string configurationKey() const = 0;
    [[nodiscard]] virtual std::string workerPrefix() const = 0;
    [[nodiscard]] virtual std::string wavePrefix() const = 0;
    [[nodiscard]] virtual std::string evacuationPrefix() const = 0; ///< The rest of a key with this prefix is the data hall's name.
    [[nodiscard]] virtual std::string waveStatusKey(std::uint64_t wave) const = 0;
    ///@}

    /// \name Documents
    ///@{
    [[nodiscard]] virtual std::optional<ServiceConfiguration> readConfiguration(std::string_view text) const = 0;
    /// \param fault Set to the reason if the entry is rejected; may be null.
    [[nodiscard]] virtual std::optional<WorkerEntry> readWorker(const std::string& id, std::string_view text, WorkerEntryFault* fault) const = 0;
    [[nodiscard]] virtual std::optional<WaveRequest> readWave(std::string_view text) const = 0;
    [[nodiscard]] virtual std::string formatWaveStatus(bool finished) const = 0;
    ///@}
};

} // namespace lanemoor::jobs
