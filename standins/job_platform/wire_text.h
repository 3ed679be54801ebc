#pragma once
/// \file
/// Pieces of the platform's wire format that the stand-in's services share.

#include "lanemoor/net/http_message.h"

#include <nlohmann/json.hpp>
#include <string>
#include <string_view>

namespace lanemoor::standin {

/// Statuses that the platform answers with.
namespace status {
constexpr unsigned ok = 200;
constexpr unsigned badRequest = 400;
constexpr unsigned notFound = 404;
constexpr unsigned conflict = 409;
constexpr unsigned gone = 410;
constexpr unsigned conditionFailed = 412;
constexpr unsigned misdirected = 421;
constexpr unsigned unavailable = 503;
} // namespace status

/// \returns An answer with a JSON body.
[[nodiscard]] HttpResponse answerJson(unsigned code, const nlohmann::json& body);

/// \returns A 409 that names its reason.
[[nodiscard]] HttpResponse answerConflict(std::string_view reason, std::int64_t clock = 0);

/// \returns The object in a request's body; an empty one if there is none.
[[nodiscard]] nlohmann::json objectIn(const HttpRequest& request);

/// \returns The value of a query field, decoded; empty if it is absent.
[[nodiscard]] std::string queryText(const HttpRequest& request, std::string_view name);

/// \returns The value of a query field as a number; 0 if it is absent.
[[nodiscard]] std::uint64_t queryNumber(const HttpRequest& request, std::string_view name);

/// \returns The field of an object as a whole number; 0 if it is absent.
[[nodiscard]] std::int64_t integerIn(const nlohmann::json& object, const char* name);

/// \returns The field of an object as text; empty if it is absent.
[[nodiscard]] std::string textIn(const nlohmann::json& object, const char* name);

} // namespace lanemoor::standin
