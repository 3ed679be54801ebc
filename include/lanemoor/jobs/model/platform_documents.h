#pragma once
/// \file
/// Where the platform keeps what it writes to the store, and how to read it.

#include "lanemoor/jobs/model/service_configuration.h"

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

namespace lanemoor::jobs {

/// \brief Keys and documents that others write to the store. A document that can't be read
/// gives nothing.
class PlatformDocuments {
public:
    virtual ~PlatformDocuments() = default;

    /// \name Keys
    ///@{
    [[nodiscard]] virtual std::string configurationKey() const = 0;
    [[nodiscard]] virtual std::string workerPrefix() const = 0;
    [[nodiscard]] virtual std::string wavePrefix() const = 0;
    [[nodiscard]] virtual std::string evacuationPrefix() const = 0; ///< A key behind it names the data hall.
    [[nodiscard]] virtual std::string waveStatusKey(std::uint64_t wave) const = 0;
    ///@}

    /// \name Documents
    ///@{
    [[nodiscard]] virtual std::optional<ServiceConfiguration> readConfiguration(std::string_view text) const = 0;
    /// \param fault Set to why there is no worker; null: not asked for.
    [[nodiscard]] virtual std::optional<WorkerEntry> readWorker(const std::string& id, std::string_view text, WorkerEntryFault* fault) const = 0;
    [[nodiscard]] virtual std::optional<WaveRequest> readWave(std::string_view text) const = 0;
    [[nodiscard]] virtual std::string formatWaveStatus(bool finished) const = 0;
    ///@}
};

} // namespace lanemoor::jobs
