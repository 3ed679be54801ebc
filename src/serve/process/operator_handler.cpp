#include "lanemoor/serve/process/operator_handler.h"

#include "lanemoor/serve/process/configuration_writer.h"
#include "lanemoor/serve/process/reports.h"

#include <algorithm>
#include <nlohmann/json.hpp>
#include <utility>

namespace lanemoor {

namespace {

constexpr std::string_view instancesPrefix = "/v1/instances/";

HttpHeaders contentType(const char* type)
{
    HttpHeaders headers;
    headers.add("Content-Type", type);
    return headers;
}

HttpResponse jsonAnswer(unsigned status, std::string body)
{
    return { status, contentType("application/json"), std::move(body) };
}

HttpResponse problemAnswer(unsigned status, std::string_view type, const std::string& title)
{
    const nlohmann::ordered_json body { { "type", "/problems/" + std::string(type) }, { "title", title }, { "status", status } };
    return { status, contentType("application/problem+json"), body.dump() };
}

/// \returns The revision that a change is based on; nothing if its header is missing or invalid.
std::optional<std::uint64_t> baseRevision(const HttpRequest& request)
{
    const std::optional<std::string_view> none = request.headers.find("If-None-Match");
    if (none && *none == "*")
        return 0;
    return parseEntityTag(request.headers.find("If-Match").value_or(std::string_view()));
}

HttpResponse faultsAnswer(const std::vector<DocumentFault>& faults)
{
    nlohmann::ordered_json body { { "type", "/problems/faulty-configuration" }, { "title", "the configuration has faults" }, { "status", 422 }, { "faults", nlohmann::ordered_json::array() } };
    for (const DocumentFault& fault : faults) {
        body["faults"].push_back({
            { "field", fault.field },
            { "line", fault.position.line },
            { "column", fault.position.column },
            { "text", describe(fault.code) },
            { "detail", fault.detail },
        });
    }
    return { 422, contentType("application/problem+json"), body.dump() };
}

HttpResponse changeAnswer(const ChangeResult& result)
{
    if (const auto* accepted = std::get_if<ChangeAccepted>(&result)) {
        HttpResponse response = jsonAnswer(200, nlohmann::json({ { "revision", accepted->revision } }).dump());
        response.headers.add("ETag", formatEntityTag(accepted->revision));
        return response;
    }
    if (const auto* conflict = std::get_if<ChangeConflict>(&result)) {
        HttpResponse response = problemAnswer(412, "newer-revision", "revision " + std::to_string(conflict->newerRevision) + " is newer than the one that was changed");
        response.headers.add("ETag", formatEntityTag(conflict->newerRevision));
        return response;
    }
    if (const auto* faulty = std::get_if<ChangeFaulty>(&result))
        return faultsAnswer(faulty->faults);
    HttpResponse response = problemAnswer(503, "store-away", "the store did not answer; look at the revision before asking again");
    response.headers.add("Retry-After", "5");
    return response;
}

} // namespace

OperatorHandler::OperatorHandler(SharedState& state, const StoreFactory& stores)
    : m_state(state)
    , m_stores(stores)
{
}

void OperatorHandler::handle(HttpExchange& exchange)
{
    exchange.respond(answer(exchange.request()));
}

bool OperatorHandler::isPermitted(const HttpRequest& request) const
{
    const std::string& token = m_state.settings().operatorToken;
    if (token.empty())
        return true;
    const std::optional<std::string_view> given = request.headers.find("Authorization");
    const std::string expected = "Bearer " + token;
    if (!given || given->size() != expected.size())
        return false;
    // Compares in constant time, so that the duration reveals no byte of the token.
    unsigned difference = 0;
    for (std::size_t i = 0; i < expected.size(); ++i)
        difference |= static_cast<unsigned char>(expected[i]) ^ static_cast<unsigned char>((*given)[i]);
    return difference == 0;
}

HttpResponse OperatorHandler::answer(const HttpRequest& request)
{
    const std::string_view path = pathOf(request.target);
    if (path == "/healthz")
        return { 200, {}, "ok\n" };
    if (path == "/readyz") {
        const Readiness readiness = m_state.readiness();
        return { readiness == Readiness::Ready ? 200U : 503U, {}, std::string(describe(readiness)) + '\n' };
    }
    if (!isPermitted(request))
        return problemAnswer(401, "not-permitted", "a valid token is needed");
    if (request.method == "GET")
        return answerGet(path);
    if (request.method == "PUT" || request.method == "POST")
        return answerChange(request, path);
    return problemAnswer(405, "method-not-allowed", "GET, PUT or POST");
}

HttpResponse OperatorHandler::answerGet(std::string_view path)
{
    const std::shared_ptr<const Snapshot> snapshot = m_state.snapshot();
    const FleetView view = snapshot->view(currentInstant());
    if (path == "/metrics") {
        m_state.metrics().set(StateGauge::Ready, m_state.readiness() == Readiness::Ready ? 1 : 0);
        return { 200, contentType("text/plain; version=0.0.4"), m_state.metrics().text() };
    }
    if (path == "/v1/configuration") {
        Configuration shown = *snapshot->configuration;
        shown.changeId.clear();
        HttpResponse response = jsonAnswer(200, formatConfiguration(shown));
        response.headers.add("ETag", formatEntityTag(shown.revision));
        return response;
    }
    if (path == "/v1/pools")
        return jsonAnswer(200, reportPools(view));
    if (path == "/v1/instances")
        return jsonAnswer(200, reportInstances(view));
    if (path == "/v1/waves")
        return jsonAnswer(200, reportWaves(view));
    if (path == "/v1/status")
        return jsonAnswer(200, reportStatus(m_state));
    if (path.substr(0, instancesPrefix.size()) == instancesPrefix) {
        std::optional<std::string> report = reportInstance(view, path.substr(instancesPrefix.size()));
        if (report)
            return jsonAnswer(200, std::move(*report));
        return problemAnswer(404, "unknown-instance", "no such instance is known");
    }
    return problemAnswer(404, "unknown-path", "no such path");
}

std::string OperatorHandler::nextChangeId()
{
    return m_state.holder() + '-' + std::to_string(++m_changes);
}

HttpResponse OperatorHandler::answerChange(const HttpRequest& request, std::string_view path)
{
    if (request.method == "PUT" && path == "/v1/configuration") {
        const std::optional<std::uint64_t> base = baseRevision(request);
        if (!base)
            return problemAnswer(400, "base-revision-missing", "If-Match with the revision that was changed is needed, or If-None-Match: *");
        const std::unique_ptr<Store> store = m_stores.make();
        ConfigurationWriter writer(*store, [this] { return nextChangeId(); });
        return changeAnswer(writer.replace(request.body, *base));
    }
    if (request.method == "POST" && path == "/v1/waves")
        return editConfiguration([](Configuration& configuration) { configuration.maintenance.waveRequestedAt = currentInstant(); });
    constexpr std::string_view drainSuffix = "/drain";
    constexpr std::string_view undrainSuffix = "/undrain";
    const std::string_view afterPrefix = path.substr(0, instancesPrefix.size()) == instancesPrefix ? path.substr(instancesPrefix.size()) : std::string_view();
    if (request.method == "POST" && afterPrefix.ends_with(undrainSuffix))
        return changeDrain(afterPrefix.substr(0, afterPrefix.size() - undrainSuffix.size()), false);
    if (request.method == "POST" && afterPrefix.ends_with(drainSuffix))
        return changeDrain(afterPrefix.substr(0, afterPrefix.size() - drainSuffix.size()), true);
    return problemAnswer(404, "unknown-path", "no such path");
}

HttpResponse OperatorHandler::changeDrain(std::string_view instance, bool drained)
{
    const std::string id(instance);
    if (!m_state.snapshot()->ledger->find(id))
        return problemAnswer(404, "unknown-instance", "no such instance is known");
    return editConfiguration([&](Configuration& configuration) {
        std::erase(configuration.drains, id);
        if (drained)
            configuration.drains.push_back(id);
    });
}

HttpResponse OperatorHandler::editConfiguration(const std::function<void(Configuration&)>& edit)
{
    const std::unique_ptr<Store> store = m_stores.make();
    ConfigurationWriter writer(*store, [this] { return nextChangeId(); });
    return changeAnswer(writer.edit(edit));
}

} // namespace lanemoor
