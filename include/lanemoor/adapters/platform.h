#pragma once
/// \file
/// The platform's instance list and control of workers.

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
    Malformed, ///< The answer can't be read.
};

/// \returns A short English text for `fault`.
[[nodiscard]] std::string_view describe(PlatformFault fault) noexcept;

/// \brief The platform as lanemoor needs it. An object serves one thread.
class Platform {
public:
    virtual ~Platform() = default;

    /// \returns The list, which lags; or nothing, and `lastFault()` says why.
    [[nodiscard]] virtual std::optional<Instances> list() = 0;

    /// \brief Asks for `action`, which may be repeated.
    /// \returns Whether the platform took it.
    [[nodiscard]] virtual bool perform(const Action& action) = 0;

    [[nodiscard]] virtual PlatformFault lastFault() const noexcept = 0;
};

} // namespace lanemoor
