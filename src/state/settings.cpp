#include "lanemoor/state/settings.h"

#include <arpa/inet.h>

namespace lanemoor {

namespace {

constexpr std::int64_t maxPort = 65'535;
constexpr std::int64_t maxCount = 100'000;
constexpr std::int64_t maxMilliseconds = 24LL * 60 * 60 * 1'000;

bool isIpv4Address(const std::string& text)
{
    in_addr number {};
    return inet_pton(AF_INET, text.c_str(), &number) == 1;
}

bool isLoopback(const std::string& ip)
{
    return ip.rfind("127.", 0) == 0;
}

void readIp(ObjectReader& reader, std::string& ip, bool required)
{
    const std::optional<std::string> text = reader.string("ip", required);
    if (!text)
        return;
    if (!isIpv4Address(*text))
        reader.fault(DocumentFaultCode::BadValue, "ip", "an IP number such as 10.0.0.1");
    ip = *text;
}

template <typename Number>
void readNumber(ObjectReader& reader, const char* name, std::int64_t minValue, std::int64_t maxValue, Number& number)
{
    if (const std::optional<std::int64_t> value = reader.integer(name, minValue, maxValue))
        number = static_cast<Number>(*value);
}

void readMillis(ObjectReader& reader, const char* name, std::int64_t minValue, Millis& duration)
{
    if (const std::optional<std::int64_t> value = reader.integer(name, minValue, maxMilliseconds))
        duration = Millis(*value);
}

void readListen(ObjectReader& reader, ListenSettings& listen)
{
    readIp(reader, listen.ip, false);
    readNumber(reader, "port", 0, maxPort, listen.port);
    listen.certificateFile = reader.string("certificateFile").value_or(std::string());
    listen.keyFile = reader.string("keyFile").value_or(std::string());
    if (listen.certificateFile.empty() != listen.keyFile.empty())
        reader.fault(DocumentFaultCode::MissingField, listen.keyFile.empty() ? "keyFile" : "certificateFile", "a certificate and its key belong together");
}

void readPeerListen(ObjectReader& reader, PeerListenSettings& listen)
{
    readIp(reader, listen.ip, false);
    readNumber(reader, "port", 0, maxPort, listen.port);
    listen.keyFile = reader.string("keyFile").value_or(std::string());
    if (!isLoopback(listen.ip) && listen.keyFile.empty())
        reader.fault(DocumentFaultCode::InsecureAddress, "keyFile", "the peer link needs a key file");
}

PeerAddress readAddress(ObjectReader& reader)
{
    PeerAddress address;
    readIp(reader, address.ip, true);
    if (const std::optional<std::int64_t> port = reader.integer("port", 1, maxPort, true))
        address.port = static_cast<std::uint16_t>(*port);
    return address;
}

void checkOperatorsPort(ObjectReader& reader, const Settings& settings)
{
    if (isLoopback(settings.operators.ip))
        return;
    if (settings.operators.certificateFile.empty())
        reader.fault(DocumentFaultCode::InsecureAddress, "certificateFile", "the operators' port needs a certificate and a token");
    if (settings.operatorToken.empty())
        reader.fault(DocumentFaultCode::InsecureAddress, "token", "the operators' port needs a certificate and a token");
}

void readLimits(ObjectReader& reader, Settings& settings)
{
    readNumber(reader, "seats", 1, maxCount, settings.shardCount);
    readNumber(reader, "mostListeners", 0, maxCount, settings.maxListeners);
    readNumber(reader, "mostThreads", 8, maxCount, settings.maxThreads);
    readNumber(reader, "mostWaiting", 1, maxCount, settings.maxWaiting);
    readNumber(reader, "claimsPerSecond", 1, maxCount, settings.claimsPerSecond);
    readMillis(reader, "defaultDeadlineMs", 1, settings.defaultDeadline);
    readMillis(reader, "unreadyBeforeStopMs", 0, settings.unreadyBeforeStop);
    readMillis(reader, "leaseMs", 500, settings.leaseTime);
    if (settings.maxThreads <= settings.maxListeners)
        reader.fault(DocumentFaultCode::OutOfRange, "mostThreads", "more than mostListeners");
}

void readLog(ObjectReader& reader, Settings& settings)
{
    const std::string format = reader.string("format").value_or("json");
    if (format != "json" && format != "text")
        reader.fault(DocumentFaultCode::BadValue, "format", "json or text");
    settings.logAsJson = format == "json";
}

Settings readSettings(ObjectReader& reader)
{
    Settings settings;
    settings.name = reader.string("name", true).value_or(std::string());
    settings.dataHall = reader.string("dataHall", true).value_or(std::string());
    reader.object("front", [&](ObjectReader& front) { readListen(front, settings.front); });
    reader.object("operators", [&](ObjectReader& operators) {
        readListen(operators, settings.operators);
        settings.operatorToken = operators.string("token").value_or(std::string());
        checkOperatorsPort(operators, settings);
    });
    reader.object("peer", [&](ObjectReader& peer) { readPeerListen(peer, settings.peer); });
    reader.objects("peers", [&](ObjectReader& peer) { settings.peers.push_back(readAddress(peer)); });
    reader.object(
        "platform", [&](ObjectReader& platform) { settings.platform = readAddress(platform); }, true);
    reader.object("limits", [&](ObjectReader& limits) { readLimits(limits, settings); });
    reader.object("log", [&](ObjectReader& log) { readLog(log, settings); });
    reader.finish();
    return settings;
}

} // namespace

std::optional<Settings> SettingsReader::read(std::string_view text)
{
    JsonDocument document;
    if (!document.parse(text)) {
        m_faults = document.faults();
        return std::nullopt;
    }
    ObjectReader reader(document, document.root(), {});
    Settings settings = readSettings(reader);
    m_faults = document.faults();
    if (!m_faults.empty())
        return std::nullopt;
    return settings;
}

} // namespace lanemoor
