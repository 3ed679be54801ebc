#include "lanemoor/client/command_line.h"

#include "lanemoor/client/operator_client.h"
#include "lanemoor/client/text_report.h"
#include "lanemoor/jobs/model/job_spec.h"
#include "lanemoor/jobs/service/job_service_settings.h"
#include "lanemoor/serve/process/daemon.h"
#include "lanemoor/serve/process/peer_keys.h"
#include "lanemoor/state/configuration_document.h"
#include "lanemoor/state/settings.h"
#include "platform/job_daemon.h"

#include <array>
#include <cstdio>
#include <fstream>
#include <functional>
#include <getopt.h>
#include <iostream>
#include <iterator>
#include <nlohmann/json.hpp>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#ifndef LANEMOOR_VERSION
#define LANEMOOR_VERSION "unknown"
#endif

namespace lanemoor {

namespace {

/// The parsed options and operands of a command.
struct Invocation {
    std::vector<std::string> operands;
    std::string settingsFile;
    OperatorClientOptions client;
    bool asJson = false;
};

/// One command of the binary.
struct Command {
    std::string_view name;
    std::string_view operands; ///< As printed by the help.
    std::string_view help;
    std::size_t minOperands;
    std::size_t maxOperands;
    std::function<ExitCode(const Invocation&)> run;
};

std::optional<std::string> readFile(const std::string& name)
{
    std::ifstream in(name, std::ios::binary);
    if (!in)
        return std::nullopt;
    return std::string(std::istreambuf_iterator<char>(in), {});
}

ExitCode printError(const std::string& text)
{
    std::cerr << "lanemoor: " << text << '\n';
    return ExitCode::Refused;
}

/// Prints an answer as text or JSON. \returns Refused for an error status.
ExitCode printResponse(const Invocation& invocation, const HttpResponse& response, const std::function<std::string(const std::string&)>& asText)
{
    constexpr unsigned firstErrorStatus = 300;
    if (response.status >= firstErrorStatus) {
        if (invocation.asJson)
            std::cout << response.body << '\n';
        return printError(problemText(response.body));
    }
    std::cout << (invocation.asJson ? response.body : asText(response.body)) << '\n';
    return ExitCode::Done;
}

ExitCode callAndPrint(const Invocation& invocation, std::string_view method, const std::string& target, const std::function<std::string(const std::string&)>& asText)
{
    OperatorClient client(invocation.client);
    const std::optional<HttpResponse> response = client.call(method, target);
    if (!response)
        return printError(client.lastReason());
    return printResponse(invocation, *response, asText);
}

ExitCode serve(const Invocation& invocation)
{
    if (invocation.settingsFile.empty()) {
        std::cerr << "lanemoor serve: --settings FILE is needed\n";
        return ExitCode::WrongUsage;
    }
    const std::optional<std::string> text = readFile(invocation.settingsFile);
    if (!text)
        return printError(invocation.settingsFile + ": can't be read");
    const auto run = [&](auto reader, const auto& daemon) {
        const auto settings = reader.read(*text);
        for (const DocumentFault& fault : reader.faults())
            std::cerr << formatFault(invocation.settingsFile, fault) << '\n';
        return settings && daemon(*settings) == 0 ? ExitCode::Done : ExitCode::Refused;
    };
    if (jobs::isJobServiceSettings(*text))
        return run(jobs::JobServiceSettingsReader(), [&](const jobs::JobServiceSettings& settings) { return platform::runJobDaemon(settings, invocation.settingsFile); });
    return run(SettingsReader(), runDaemon);
}

ExitCode generateKeys(const Invocation& invocation)
{
    const std::string& file = invocation.operands.front();
    if (!writePeerKeys(file))
        return printError(file + ": can't be written, or exists already");
    return ExitCode::Done;
}

/// Checks `text` as settings or as a configuration. Only settings name a platform or a front.
std::vector<DocumentFault> faultsOf(const std::string& text)
{
    if (jobs::isJobServiceSettings(text)) {
        jobs::JobServiceSettingsReader reader;
        static_cast<void>(reader.read(text));
        return reader.faults();
    }
    const nlohmann::json json = nlohmann::json::parse(text, nullptr, false);
    if (json.is_object() && (json.contains("platform") || json.contains("front"))) {
        SettingsReader reader;
        static_cast<void>(reader.read(text));
        return reader.faults();
    }
    ConfigurationReader reader;
    static_cast<void>(reader.read(text, 1));
    return reader.faults();
}

ExitCode check(const Invocation& invocation)
{
    ExitCode code = ExitCode::Done;
    for (const std::string& file : invocation.operands) {
        const std::optional<std::string> text = readFile(file);
        if (!text) {
            code = printError(file + ": can't be read");
            continue;
        }
        for (const DocumentFault& fault : faultsOf(*text)) {
            std::cout << formatFault(file, fault) << '\n';
            code = ExitCode::Refused;
        }
    }
    return code;
}

ExitCode get(const Invocation& invocation)
{
    return callAndPrint(invocation, "GET", "/v1/configuration", [](const std::string& body) { return body; });
}

/// Without a revision operand the change is based on the revision in force at the entry instance.
ExitCode apply(const Invocation& invocation)
{
    const std::string& file = invocation.operands.front();
    const std::optional<std::string> text = readFile(file);
    if (!text)
        return printError(file + ": can't be read");
    const std::vector<DocumentFault> faults = faultsOf(*text);
    for (const DocumentFault& fault : faults)
        std::cerr << formatFault(file, fault) << '\n';
    if (!faults.empty())
        return ExitCode::Refused;
    OperatorClient client(invocation.client);
    std::string base = invocation.operands.size() > 1 ? '"' + invocation.operands[1] + '"' : std::string();
    if (base.empty()) {
        const std::optional<HttpResponse> current = client.call("GET", "/v1/configuration");
        if (!current)
            return printError(client.lastReason());
        base = std::string(current->headers.find("ETag").value_or("\"0\""));
    }
    const std::optional<HttpResponse> response = client.call("PUT", "/v1/configuration", *text, base == "\"0\"" ? "*" : base);
    if (!response)
        return printError(client.lastReason());
    return printResponse(invocation, *response, acceptedText);
}

ExitCode diff(const Invocation& invocation)
{
    const std::string& file = invocation.operands.front();
    const std::optional<std::string> text = readFile(file);
    if (!text)
        return printError(file + ": can't be read");
    ConfigurationReader reader;
    const std::optional<Configuration> proposed = reader.read(*text, 1);
    for (const DocumentFault& fault : reader.faults())
        std::cerr << formatFault(file, fault) << '\n';
    if (!proposed)
        return ExitCode::Refused;
    OperatorClient client(invocation.client);
    const std::optional<HttpResponse> current = client.call("GET", "/v1/configuration");
    if (!current)
        return printError(client.lastReason());
    const nlohmann::json patch = nlohmann::json::diff(nlohmann::json::parse(current->body), nlohmann::json::parse(formatConfiguration(*proposed)));
    std::cout << (invocation.asJson ? patch.dump() : patchText(patch.dump()));
    return ExitCode::Done;
}

ExitCode waves(const Invocation& invocation)
{
    if (invocation.operands.empty())
        return callAndPrint(invocation, "GET", "/v1/waves", wavesText);
    if (invocation.operands.front() != "start") {
        std::cerr << "lanemoor waves: the operand can be start only\n";
        return ExitCode::WrongUsage;
    }
    return callAndPrint(invocation, "POST", "/v1/waves", acceptedText);
}

ExitCode listOrChangeJobs(const Invocation& invocation)
{
    const std::string verb = invocation.operands.empty() ? "list" : invocation.operands.front();
    const std::string operand = invocation.operands.size() > 1 ? invocation.operands[1] : std::string();
    if (verb == "list")
        return callAndPrint(invocation, "GET", operand.empty() ? "/v1/jobs" : "/v1/jobs?queue=" + operand, jobsText);
    if (operand.empty() || (verb != "show" && verb != "cancel")) {
        std::cerr << "usage: lanemoor jobs [list [QUEUE] | show ID | cancel ID]\n";
        return ExitCode::WrongUsage;
    }
    if (verb == "show")
        return callAndPrint(invocation, "GET", "/v1/jobs/" + operand, jobText);
    return callAndPrint(invocation, "DELETE", "/v1/jobs/" + operand, [](const std::string&) { return "cancelled"; });
}

/// Job ids differ in format from instance ids, so one command accepts both.
ExitCode explain(const Invocation& invocation)
{
    const std::string& operand = invocation.operands.front();
    if (jobs::isJobId(operand))
        return callAndPrint(invocation, "GET", "/v1/jobs/" + operand, jobText);
    return callAndPrint(invocation, "GET", "/v1/instances/" + operand, instanceText);
}

const std::vector<Command>& commands()
{
    static const std::vector<Command> all {
        { "serve", "--settings FILE", "run an entry instance", 0, 0, serve },
        { "keygen", "FILE", "write a key pair for the peer link, to be copied to every entry instance", 1, 1, generateKeys },
        { "check", "FILE...", "check settings and configurations, all faults at once", 1, 1000, check },
        { "apply", "FILE [REVISION]", "replace the configuration, made on REVISION or on the one in force", 1, 2, apply },
        { "get", "", "print the configuration in force", 0, 0, get },
        { "diff", "FILE", "print what applying FILE would change", 1, 1, diff },
        { "pools", "", "show pools, budgets and conditions", 0, 0, [](const Invocation& invocation) { return callAndPrint(invocation, "GET", "/v1/pools", poolsText); } },
        { "instances", "", "show instances, their pools and grants; of the job service, by the owner's metrics address, their health", 0, 0, [](const Invocation& invocation) { return callAndPrint(invocation, "GET", "/v1/instances", instancesText); } },
        { "waves", "[start]", "show or start a maintenance wave", 0, 1, waves },
        { "drain", "INSTANCE", "take an instance out of service when its budget permits", 1, 1, [](const Invocation& invocation) { return callAndPrint(invocation, "POST", "/v1/instances/" + invocation.operands.front() + "/drain", acceptedText); } },
        { "undrain", "INSTANCE", "let an instance serve again", 1, 1, [](const Invocation& invocation) { return callAndPrint(invocation, "POST", "/v1/instances/" + invocation.operands.front() + "/undrain", acceptedText); } },
        { "status", "", "show an entry instance, its peers and what is in force on each", 0, 0, [](const Invocation& invocation) { return callAndPrint(invocation, "GET", "/v1/status", statusText); } },
        { "explain", "INSTANCE|JOB", "tell why an instance is in its pool and whether it may be taken, or why a job's tasks run or wait where they do", 1, 1, explain },
        { "jobs", "[list [QUEUE] | show ID | cancel ID]", "show or cancel jobs of the job service, by its metrics address", 0, 2, listOrChangeJobs },
        { "organisations", "", "show what organisations of the job service have running against their quotas, by the owner's metrics address", 0, 0, [](const Invocation& invocation) { return callAndPrint(invocation, "GET", "/v1/organisations", organisationsText); } },
        { "evacuations", "", "show data halls that are evacuated or lost and what remains there, by the owner's metrics address", 0, 0, [](const Invocation& invocation) { return callAndPrint(invocation, "GET", "/v1/evacuations", evacuationsText); } },
        { "shards", "", "show the job service's shards and their owners", 0, 0, [](const Invocation& invocation) { return callAndPrint(invocation, "GET", "/v1/shards", shardsText); } },
    };
    return all;
}

void printUsage(std::ostream& out)
{
    out << "usage: lanemoor COMMAND [--entry IP:PORT] [--token-file FILE] [--json] [OPERAND...]\n"
           "       lanemoor COMMAND --help | lanemoor --version\n\n";
    for (const Command& command : commands())
        out << "  " << command.name << ' ' << command.operands << "\n      " << command.help << '\n';
    out << "\nExit codes: 0 done, 1 refused or failed, 2 wrong usage.\n";
}

void printHelp(const Command& command)
{
    std::cout << "usage: lanemoor " << command.name << ' ' << command.operands << "\n  " << command.help
              << "\n  --entry IP:PORT    operators' port to ask (default 127.0.0.1:7300)"
                 "\n  --token-file FILE  file that holds the operators' token"
                 "\n  --json             answer as JSON\n";
}

/// Parses a command's options. \returns Nothing if they are invalid or help was requested; `code`
/// is then the exit code.
std::optional<Invocation> readInvocation(const Command& command, int count, char** arguments, ExitCode& code)
{
    static const std::array<option, 6> options { {
        { "settings", required_argument, nullptr, 's' },
        { "entry", required_argument, nullptr, 'e' },
        { "token-file", required_argument, nullptr, 't' },
        { "json", no_argument, nullptr, 'j' },
        { "help", no_argument, nullptr, 'h' },
        { nullptr, 0, nullptr, 0 },
    } };
    Invocation invocation;
    code = ExitCode::WrongUsage;
    optind = 1;
    for (int found = 0; (found = getopt_long(count, arguments, "h", options.data(), nullptr)) != -1;) {
        switch (found) {
        case 's':
            invocation.settingsFile = optarg;
            break;
        case 'j':
            invocation.asJson = true;
            break;
        case 'e': {
            const std::optional<HttpAddress> address = parseAddress(optarg);
            if (!address) {
                std::cerr << "lanemoor: --entry needs IP:PORT\n";
                return std::nullopt;
            }
            invocation.client.address = *address;
            break;
        }
        case 't': {
            std::optional<std::string> token = readFile(optarg);
            if (!token) {
                std::cerr << "lanemoor: " << optarg << " can't be read\n";
                return std::nullopt;
            }
            token->erase(token->find_last_not_of(" \r\n") + 1);
            invocation.client.token = *token;
            break;
        }
        case 'h':
            printHelp(command);
            code = ExitCode::Done;
            return std::nullopt;
        default:
            return std::nullopt;
        }
    }
    invocation.operands.assign(arguments + optind, arguments + count);
    if (invocation.operands.size() < command.minOperands || invocation.operands.size() > command.maxOperands) {
        std::cerr << "usage: lanemoor " << command.name << ' ' << command.operands << '\n';
        return std::nullopt;
    }
    return invocation;
}

ExitCode runNamedCommand(int count, char** arguments)
{
    const std::string_view name = count > 1 ? arguments[1] : "";
    if (name == "--version") {
        std::cout << "lanemoor " LANEMOOR_VERSION "\n";
        return ExitCode::Done;
    }
    if (name == "--help" || name == "-h") {
        printUsage(std::cout);
        return ExitCode::Done;
    }
    for (const Command& command : commands()) {
        if (command.name != name)
            continue;
        ExitCode code = ExitCode::WrongUsage;
        const std::optional<Invocation> invocation = readInvocation(command, count - 1, arguments + 1, code);
        return invocation ? command.run(*invocation) : code;
    }
    printUsage(std::cerr);
    return ExitCode::WrongUsage;
}

} // namespace

int runCommandLine(int count, char** arguments)
{
    return static_cast<int>(runNamedCommand(count, arguments));
}

} // namespace lanemoor
