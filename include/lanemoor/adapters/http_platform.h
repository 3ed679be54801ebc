#pragma once
/// \file
/// The platform's store and worker control over HTTP.

#include "lanemoor/adapters/platform.h"
#include "lanemoor/adapters/store.h"
#include "lanemoor/net/http_message.h"

#include <memory>
#include <string_view>

namespace lanemoor {

/// \returns Instances from the JSON text of the platform's list, or nothing.
[[nodiscard]] std::optional<Instances> parseInstanceList(std::string_view text);

/// \brief Makes stores that speak HTTP: versions are entity tags, conditions If-Match
/// and If-None-Match. See docs/DESIGN.md for the calls.
class HttpStoreFactory final : public StoreFactory {
public:
    explicit HttpStoreFactory(HttpAddress address);
    [[nodiscard]] std::unique_ptr<Store> make() const override;

private:
    HttpAddress m_address;
};

/// \returns A platform at `address`.
[[nodiscard]] std::unique_ptr<Platform> makeHttpPlatform(const HttpAddress& address);

} // namespace lanemoor
