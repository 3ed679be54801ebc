#include "control_service.h"

#include "wire_text.h"

namespace lanemoor::standin {

namespace {

using nlohmann::json;

StoreFaults readStoreFaults(const json& body)
{
    StoreFaults faults { .refusing = body.value("refusing", false), .unresponsive = body.value("silent", false), .lostAnswers = body.value("lost_answers", 0.0), .lateWrites = body.value("late_writes", 0.0) };
    if (body.contains("answer_ms"))
        faults.answerTime = Millis(integerIn(body, "answer_ms"));
    return faults;
}

HttpResponse answerFound(bool found)
{
    return answerJson(found ? status::ok : status::notFound, json::object());
}

} // namespace

ControlService::ControlService(aio::AsioEventLoop& loop, StoreService& store, Fleet& fleet, Advisor& advisor)
    : m_store(store)
    , m_fleet(fleet)
    , m_advisor(advisor)
    , m_listener(loop, { .address = { "127.0.0.1", 0 } }, [this](const HttpRequest& request, const aio::HttpResponder& respond) { respond(serve(request)); })
{
}

HttpResponse ControlService::serve(const HttpRequest& request)
{
    const json body = objectIn(request);
    const std::string_view path = pathOf(request.target);
    if (path == "/begin") {
        m_fleet.begin(body.value("addresses", std::map<std::string, std::string>()));
        return answerFound(true);
    }
    if (path == "/store-faults") {
        m_store.setFaults(readStoreFaults(body));
        return answerFound(true);
    }
    if (path == "/put")
        return answerJson(status::ok, { { "rev", m_store.put(textIn(body, "key"), textIn(body, "value")) } });
    if (path == "/remove") {
        m_store.remove(textIn(body, "key"));
        return answerFound(true);
    }
    if (path == "/refuse-starts") {
        m_fleet.refuseStarts(body.value("on", false));
        return answerFound(true);
    }
    if (path == "/advisor-faults") {
        m_advisor.setUnresponsive(body.value("silent", false));
        return answerFound(true);
    }
    if (path == "/kill")
        return answerFound(m_fleet.kill(textIn(body, "instance"), Millis(integerIn(body, "back_ms")), body.value("keeps_id", false)));
    if (path == "/worker-faults")
        return answerFound(m_fleet.setFaults(textIn(body, "instance"), { .unresponsive = body.value("mute", false), .answerTime = Millis(integerIn(body, "answer_ms")) }));
    return answerFound(false);
}

} // namespace lanemoor::standin
