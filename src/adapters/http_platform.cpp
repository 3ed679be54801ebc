#include "lanemoor/adapters/http_platform.h"

#include "lanemoor/net/http_connection.h"
#include "lanemoor/state/json_bounds.h"

#include <limits>
#include <nlohmann/json.hpp>
#include <utility>

namespace lanemoor {

namespace {

constexpr Millis callTimeout { 2'000 };
/// Added to the wait time of a watch.
constexpr Millis watchTimeoutMargin { 2'000 };
constexpr std::size_t maxListBytes = 8 * 1024 * 1024;
constexpr std::size_t maxValueBytes = 1024 * 1024;
constexpr std::size_t maxListValues = 600'000; ///< Those of 40,000 instances.

/// Sends calls over one connection and reconnects when it was closed. Never resends a call that
/// may have been sent.
class CallConnection {
public:
    CallConnection(HttpAddress address, std::size_t maxAnswerBytes)
        : m_address(std::move(address))
        , m_connection(m_address)
        , m_maxAnswerBytes(maxAnswerBytes)
    {
    }

    /// \returns The complete answer; nothing on failure, with the reason in `lastResult()`.
    [[nodiscard]] std::optional<HttpResponse> call(const HttpRequest& request, Millis limit)
    {
        if (!m_connection.isReusable())
            m_connection = HttpConnection(m_address);
        BufferSink sink(m_maxAnswerBytes);
        m_lastResult = m_connection.exchange(request, sink, { .deadline = currentInstant() + limit });
        if (m_lastResult.fault != ExchangeFault::None)
            return std::nullopt;
        return sink.response();
    }

    [[nodiscard]] const ExchangeResult& lastResult() const noexcept { return m_lastResult; }

private:
    HttpAddress m_address;
    HttpConnection m_connection;
    std::size_t m_maxAnswerBytes;
    ExchangeResult m_lastResult;
};

HttpRequest requestOf(std::string method, std::string target, std::string body = {})
{
    HttpRequest request;
    request.method = std::move(method);
    request.target = std::move(target);
    request.body = std::move(body);
    return request;
}

std::optional<std::uint64_t> versionOf(const HttpHeaders& headers)
{
    return parseEntityTag(headers.find("ETag").value_or(std::string_view()));
}

class HttpStore final : public Store {
public:
    explicit HttpStore(const HttpAddress& address)
        : m_callConnection(address, maxValueBytes)
    {
    }

    [[nodiscard]] std::optional<StoredValue> get(const std::string& key) override
    {
        return read(requestOf("GET", "/v1/kv/" + key), callTimeout);
    }

    [[nodiscard]] std::optional<StoredValue> watch(const std::string& key, std::uint64_t after, Millis wait) override
    {
        const std::string target = "/v1/kv/" + key + "?after=" + std::to_string(after) + "&waitMs=" + std::to_string(wait.count());
        return read(requestOf("GET", target), wait + watchTimeoutMargin);
    }

    [[nodiscard]] std::optional<std::uint64_t> put(const std::string& key, const std::string& body, std::uint64_t expected) override
    {
        if (body.size() > maxValueBytes) {
            m_lastFault = StoreFault::TooLarge;
            return std::nullopt;
        }
        HttpRequest request = requestOf("PUT", "/v1/kv/" + key, body);
        if (expected == 0)
            request.headers.add("If-None-Match", "*");
        else
            request.headers.add("If-Match", formatEntityTag(expected));
        const std::optional<HttpResponse> response = call(request, callTimeout);
        return response ? versionOf(response->headers) : std::nullopt;
    }

    [[nodiscard]] std::optional<Lease> acquire(const std::string& name, const std::string& holder, Millis time) override
    {
        const Instant before = currentInstant();
        const nlohmann::json body { { "holder", holder }, { "ttlMs", time.count() } };
        const std::optional<HttpResponse> response = call(requestOf("POST", "/v1/leases/" + name, body.dump()), callTimeout);
        if (!response)
            return std::nullopt;
        const nlohmann::json answer = nlohmann::json::parse(response->body, nullptr, false);
        if (!answer.is_object() || !answer.contains("epoch") || !answer["epoch"].is_number_unsigned()) {
            m_lastFault = StoreFault::Refused;
            return std::nullopt;
        }
        return Lease { .epoch = answer["epoch"].get<std::uint64_t>(), .expiresAt = before + time };
    }

    void release(const std::string& name, const std::string& holder) override
    {
        static_cast<void>(call(requestOf("DELETE", "/v1/leases/" + name + "?holder=" + holder), callTimeout));
    }

    [[nodiscard]] StoreFault lastFault() const noexcept override { return m_lastFault; }

private:
    [[nodiscard]] std::optional<StoredValue> read(const HttpRequest& request, Millis limit)
    {
        std::optional<HttpResponse> response = call(request, limit);
        if (!response)
            return std::nullopt;
        const std::optional<std::uint64_t> version = versionOf(response->headers);
        if (!version) {
            m_lastFault = response->status == 204 ? StoreFault::NotFound : StoreFault::Refused;
            return std::nullopt;
        }
        return StoredValue { .version = *version, .body = std::move(response->body) };
    }

    [[nodiscard]] std::optional<HttpResponse> call(const HttpRequest& request, Millis limit)
    {
        std::optional<HttpResponse> response = m_callConnection.call(request, limit);
        if (!response) {
            m_lastFault = m_callConnection.lastResult().anySent ? StoreFault::NoAnswer : StoreFault::Unreachable;
            return std::nullopt;
        }
        if (response->status < 300)
            return response;
        m_lastFault = faultOf(response->status);
        return std::nullopt;
    }

    [[nodiscard]] static StoreFault faultOf(unsigned status) noexcept
    {
        if (status == 404)
            return StoreFault::NotFound;
        if (status == 409 || status == 412)
            return StoreFault::Conflict;
        if (status == 413)
            return StoreFault::TooLarge;
        return StoreFault::Refused;
    }

    CallConnection m_callConnection;
    StoreFault m_lastFault = StoreFault::Unreachable;
};

class HttpPlatform final : public Platform {
public:
    explicit HttpPlatform(const HttpAddress& address)
        : m_callConnection(address, maxListBytes)
    {
    }

    [[nodiscard]] std::optional<Instances> list() override
    {
        HttpRequest request = requestOf("GET", "/v1/instances");
        if (!m_listTag.empty())
            request.headers.add("If-None-Match", m_listTag);
        const std::optional<HttpResponse> response = m_callConnection.call(request, callTimeout);
        m_lastFault = response ? PlatformFault::Refused : PlatformFault::Unreachable;
        if (response && response->status == notModified)
            return m_list;
        if (!response || response->status != 200)
            return std::nullopt;
        std::optional<Instances> instances = parseInstanceList(response->body);
        m_lastFault = PlatformFault::Malformed;
        if (!instances)
            return std::nullopt;
        m_list = std::move(*instances);
        m_listTag = std::string(response->headers.find("ETag").value_or(std::string_view()));
        return m_list;
    }

    [[nodiscard]] bool perform(const Action& action) override
    {
        const std::string target = "/v1/instances/" + action.instance + '/' + std::string(nameOf(action.kind)) + "?grant=" + std::to_string(action.grant) + "&epoch=" + std::to_string(action.epoch);
        const std::optional<HttpResponse> response = m_callConnection.call(requestOf("POST", target), callTimeout);
        m_lastFault = response ? PlatformFault::Refused : PlatformFault::Unreachable;
        return response && response->status < 300;
    }

    [[nodiscard]] PlatformFault lastFault() const noexcept override { return m_lastFault; }

private:
    static constexpr unsigned notModified = 304;

    CallConnection m_callConnection;
    Instances m_list; ///< The last list read; its entity tag is `m_listTag`.
    std::string m_listTag;
    PlatformFault m_lastFault = PlatformFault::Unreachable;
};

InstanceState stateFrom(const std::string& text) noexcept
{
    if (text == "live")
        return InstanceState::Live;
    return text == "gone" ? InstanceState::Gone : InstanceState::Leaving;
}

/// Reads field `name`; an absent one leaves `number` unchanged. \returns Whether the field is absent or in the range of `Number`.
template <typename Number>
bool readNumber(const nlohmann::json& json, const char* name, Number& number)
{
    const auto found = json.find(name);
    if (found == json.end())
        return true;
    if (!found->is_number_unsigned() || found->get<std::uint64_t>() > std::numeric_limits<Number>::max())
        return false;
    number = found->get<Number>();
    return true;
}

/// \returns Nothing if the entry is malformed or a number is out of range.
std::optional<Instance> readInstance(const nlohmann::json& json)
{
    Instance instance;
    try {
        instance.id = json.at("id").get<std::string>();
        instance.address = json.at("ip").get<std::string>();
        instance.dataHall = json.at("dataHall").get<std::string>();
        instance.rack = json.at("rack").get<std::string>();
        instance.state = stateFrom(json.at("state").get<std::string>());
        instance.drained = json.value("drained", false);
        std::vector<Label> labels;
        for (const auto& [key, value] : json.at("labels").items())
            labels.push_back({ .key = key, .value = value.get<std::string>() });
        instance.labels = LabelSet(std::move(labels));
    } catch (const nlohmann::json::exception&) {
        return std::nullopt;
    }
    const bool areNumbersValid = readNumber(json, "port", instance.port) && readNumber(json, "bootId", instance.bootId) && readNumber(json, "slots", instance.slots)
        && readNumber(json, "connections", instance.connections) && readNumber(json, "longSessions", instance.longSessions);
    return areNumbersValid && instance.port > 0 ? std::optional(std::move(instance)) : std::nullopt;
}

} // namespace

std::string_view describe(StoreFault fault) noexcept
{
    switch (fault) {
    case StoreFault::Unreachable:
        return "the store can't be reached";
    case StoreFault::NoAnswer:
        return "the store gave no answer";
    case StoreFault::NotFound:
        return "the store has no such value";
    case StoreFault::Conflict:
        return "the store holds another version";
    case StoreFault::TooLarge:
        return "the value is too large for the store";
    case StoreFault::Refused:
        return "the store refused the call";
    }
    return "unknown fault";
}

std::string_view describe(PlatformFault fault) noexcept
{
    switch (fault) {
    case PlatformFault::Unreachable:
        return "the platform can't be reached";
    case PlatformFault::Refused:
        return "the platform refused the call";
    case PlatformFault::Malformed:
        return "the platform's answer can't be read";
    }
    return "unknown fault";
}

std::optional<Instances> parseInstanceList(std::string_view text)
{
    if (hasMoreValues(text, maxListValues))
        return std::nullopt;
    const nlohmann::json json = nlohmann::json::parse(text, nullptr, false);
    if (!json.is_array())
        return std::nullopt;
    Instances instances;
    for (const nlohmann::json& element : json) {
        if (std::optional<Instance> instance = readInstance(element))
            instances.push_back(std::move(*instance));
    }
    return instances;
}

HttpStoreFactory::HttpStoreFactory(HttpAddress address)
    : m_address(std::move(address))
{
}

std::unique_ptr<Store> HttpStoreFactory::make() const
{
    return std::make_unique<HttpStore>(m_address);
}

std::unique_ptr<Platform> makeHttpPlatform(const HttpAddress& address)
{
    return std::make_unique<HttpPlatform>(address);
}

} // namespace lanemoor
