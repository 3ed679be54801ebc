#pragma once
/// \file
/// Interface to the platform's instance list and worker control.

#include "lanemoor/decisions/controller.h"
#include "lanemoor/decisions/instance.h"

#include <memory>
#include <optional>
#include <string>
#include <string_view>

namespace lanemoor {

/// Why a call to the platform failed.
enum class PlatformFault {
    Unreachable,
    Refused,
    Malformed, ///< The answer can't be parsed.
};

/// \returns A short English text for `fault`.
[[nodiscard]] std::string_view describe(PlatformFault fault) noexcept;

/// \brief Client of the platform. Not thread-safe; each thread uses its own object.
class Platform {
public:
    virtual ~Platform() = default;

    /// \returns The instance list, which may lag behind the platform's state; nothing on
    /// failure, with the reason in `lastFault()`.
    [[nodiscard]] virtual std::optional<Instances> list() = 0;

    /// \brief Requests `action`. The same action may be requested repeatedly.
    /// \returns Whether the platform accepted it.
    [[nodiscard]] virtual bool perform(const Action& action) = 0;

    [[nodiscard]] virtual PlatformFault lastFault() const noexcept = 0;
};

} // namespace lanemoor
