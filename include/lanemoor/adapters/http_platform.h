#pragma once
/// \file
/// HTTP clients of the platform's store and of its worker control.

#include "lanemoor/adapters/platform.h"
#include "lanemoor/adapters/store.h"
#include "lanemoor/net/http_message.h"

#include <memory>
#include <string_view>

namespace lanemoor {

/// \brief Parses the JSON text of the platform's instance list. Leaves out malformed entries and entries with a number out of range.
/// \returns Nothing if `text` is no JSON array.
[[nodiscard]] std::optional<Instances> parseInstanceList(std::string_view text);

/// \brief Creates HTTP store clients. Versions are entity tags; conditions are If-Match
/// and If-None-Match. docs/DESIGN.md describes the calls.
class HttpStoreFactory final : public StoreFactory {
public:
    explicit HttpStoreFactory(HttpAddress address);
    [[nodiscard]] std::unique_ptr<Store> make() const override;

private:
    HttpAddress m_address;
};

/// \returns A client of the platform at `address`.
[[nodiscard]] std::unique_ptr<Platform> makeHttpPlatform(const HttpAddress& address);

} // namespace lanemoor
