#include "lanemoor/serve/process/daemon.h"

#include "lanemoor/adapters/http_platform.h"
#include "lanemoor/serve/process/background.h"
#include "lanemoor/serve/process/control_role.h"
#include "lanemoor/serve/process/operator_handler.h"
#include "lanemoor/serve/process/order_claims.h"
#include "lanemoor/serve/process/peer_link.h"
#include "lanemoor/serve/request/front_handler.h"

#include <csignal>
#include <cstdlib>
#include <exception>
#include <functional>
#include <pthread.h>
#include <thread>
#include <utility>
#include <vector>

namespace lanemoor {

namespace {

constexpr unsigned operatorThreads = 8;
constexpr std::size_t operatorBodyBytes = 8 * 1024 * 1024; // Of all requests together.
constexpr Millis stopCheckInterval { 20 };

/// \param port Name of the port, for the metric and the log.
HttpServerOptions serverOptions(const char* port, const ListenSettings& listen, unsigned maxThreads, SharedState& state)
{
    HttpServerOptions options;
    options.ip = listen.ip;
    options.port = listen.port;
    options.certificateFile = listen.certificateFile;
    options.keyFile = listen.keyFile;
    options.maxThreads = maxThreads;
    options.onRefused = [port, &state](unsigned status) {
        state.metrics().onRefused(port, status);
        state.log().decision("request-refused", { { "port", std::string(port) }, { "status", std::int64_t { status } } });
    };
    return options;
}

/// Blocks the signals that request a planned stop in all threads. \returns The signals, for `sigwait`.
sigset_t blockStopSignals()
{
    std::signal(SIGPIPE, SIG_IGN);
    sigset_t signals;
    sigemptyset(&signals);
    sigaddset(&signals, SIGTERM);
    sigaddset(&signals, SIGINT);
    pthread_sigmask(SIG_BLOCK, &signals, nullptr);
    return signals;
}

/// Runs each loop of an entry instance in its own thread.
class BackgroundThreads {
public:
    explicit BackgroundThreads(SharedState& state)
        : m_state(state)
    {
    }

    ~BackgroundThreads()
    {
        m_state.quit();
        for (std::thread& thread : m_threads)
            thread.join();
    }

    BackgroundThreads(const BackgroundThreads&) = delete;
    BackgroundThreads& operator=(const BackgroundThreads&) = delete;

    template <typename Loop>
    void start(Loop& loop)
    {
        m_threads.emplace_back([&loop] { loop.run(); });
    }

private:
    SharedState& m_state;
    std::vector<std::thread> m_threads;
};

void shutDownGracefully(SharedState& state, const FrontHandler& front)
{
    state.stop();
    state.log().change("stopping");
    state.pause(state.settings().unreadyBeforeStop);
    while (front.inFlight() > 0)
        state.pause(stopCheckInterval);
}

} // namespace

int runDaemon(const Settings& settings)
{
    const sigset_t signals = blockStopSignals();
    EventLog log({ .asJson = settings.logAsJson });
    Metrics metrics;
    const std::string holder = settings.name + '-' + std::to_string(currentInstant().time_since_epoch().count());
    SharedState state(settings, holder, metrics, log);
    const HttpAddress platform { settings.platform.ip, settings.platform.port };
    const HttpStoreFactory stores(platform);
    try {
        OrderClaims claims(stores, holder, settings.claimsPerSecond, metrics);
        PeerLink peers(state);
        DocumentWatch configuration(state, stores.make(), std::string(configurationKey), [&](std::uint64_t version, const std::string& body) { state.acceptConfiguration(version, body); });
        DocumentWatch ledger(state, stores.make(), std::string(ledgerKey), [&](std::uint64_t version, const std::string& body) { state.acceptLedger(version, body); });
        ListPoller list(state, makeHttpPlatform(platform));
        ShardLeaseManager shardLease(state, stores.make());
        ControlRole control(state, stores.make(), makeHttpPlatform(platform));
        FrontHandler front(state, claims);
        OperatorHandler operators(state, stores);
        BackgroundThreads threads(state);
        threads.start(peers);
        threads.start(configuration);
        threads.start(ledger);
        threads.start(list);
        threads.start(shardLease);
        threads.start(control);
        const HttpServer frontServer(serverOptions("front", settings.front, settings.maxThreads, state), front);
        HttpServerOptions operatorOptions = serverOptions("operators", settings.operators, operatorThreads, state);
        operatorOptions.maxAllBodyBytes = operatorBodyBytes;
        const HttpServer operatorServer(operatorOptions, operators);
        log.change("listening", { { "front", std::int64_t { frontServer.port() } }, { "operators", std::int64_t { operatorServer.port() } }, { "peer", peers.address() } });
        int signal = 0;
        sigwait(&signals, &signal);
        shutDownGracefully(state, front);
    } catch (const std::exception& error) {
        log.change("cannot-start", { { "reason", std::string(error.what()) } });
        return 1;
    }
    log.change("stopped");
    return 0;
}

} // namespace lanemoor
