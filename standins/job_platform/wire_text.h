#pragma once
/// \file
/// Wire-format helpers shared by the stand-in's services.

#include "lanemoor/net/http_message.h"

#include <nlohmann/json.hpp>
#include <string>
#include <string_view>

namespace lanemoor::standin {

/// HTTP statuses of the platform's responses.
namespace status {
constexpr unsigned ok = 200;
constexpr unsigned badRequest = 400;
constexpr unsigned notFound = 404;
constexpr unsigned conflict = 409;
constexpr unsigned gone = 410;
constexpr unsigned conditionFailed = 412;
constexpr unsigned misdirected = 421;
constexpr unsigned tooManyRequests = 429;
constexpr unsigned unavailable = 503;
} // namespace status

/// \returns A response with a JSON body.
[[nodiscard]] HttpResponse answerJson(unsigned code, const nlohmann::json& body);

/// \returns A 409 response with a reason.
[[nodiscard]] HttpResponse answerConflict(std::string_view reason, std::int64_t clock = 0);

/// \returns The JSON object in a request's body; an empty object if there is none.
[[nodiscard]] nlohmann::json objectIn(const HttpRequest& request);

/// \returns The percent-decoded value of a query field; empty if absent.
[[nodiscard]] std::string queryText(const HttpRequest& request, std::string_view name);

/// \returns The value of a query field as a number; 0 if absent or not a number.
[[nodiscard]] std::uint64_t queryNumber(const HttpRequest& request, std::string_view name);

/// \returns The field of an object as an integer; 0 if absent or not a number.
[[nodiscard]] std::int64_t integerIn(const nlohmann::json& object, const char* name);

/// \returns The field of an object as text; empty if absent or not a string.
[[nodiscard]] std::string textIn(const nlohmann::json& object, const char* name);

} // namespace lanemoor::standin
