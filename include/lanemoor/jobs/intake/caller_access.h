#pragma once
/// \file
/// Who may call a queue, and whose jobs a caller may see.

#include "lanemoor/jobs/model/service_configuration.h"

#include <optional>
#include <string>
#include <string_view>

namespace lanemoor::jobs {

struct JobRecord;

/// A caller whose key was checked against one version of the configuration.
struct Caller {
    std::string queue; ///< That is called.
    std::string organisation; ///< Empty: not known; nobody was asked for a key.
    bool isOpen = false; ///< The queue asks for no key.

    [[nodiscard]] bool operator==(const Caller&) const = default;
};

/// \brief Checks a call to `queue` against `configuration`.
///
/// A public queue, and a configuration without organisations, asks for no key; a key that comes all
/// the same tells whose job it is.
/// \param key As the caller sent it, if any.
/// \returns The caller, or nothing if the key is missing or nobody holds it.
[[nodiscard]] std::optional<Caller> identify(const ServiceConfiguration& configuration, const QueueSettings& queue, std::optional<std::string_view> key);

/// \returns Whether the caller may see and cancel a job, and hand it in again. On a queue that asks for
/// a key, jobs belong to their organisation, and jobs without one to everybody with a key; on an
/// open queue callers reach the queue's own jobs and those that belong to nobody.
[[nodiscard]] bool mayUse(const Caller& caller, const JobRecord& job);

} // namespace lanemoor::jobs
