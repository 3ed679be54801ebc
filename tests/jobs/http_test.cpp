/// The HTTP client and listener against each other and against raw sockets, on loopback.

#include "lanemoor/aio/http_client.h"
#include "lanemoor/aio/http_listener.h"
#include "support/hostile_crowd.h"

#include <arpa/inet.h>
#include <catch2/catch.hpp>
#include <optional>
#include <string>
#include <sys/socket.h>
#include <thread>
#include <unistd.h>
#include <utility>
#include <vector>

using namespace lanemoor;
using namespace lanemoor::aio;

namespace {

constexpr Millis timeout { 5'000 };

/// Makes calls and runs the event loop until each has a reply.
struct Exchange {
    AsioEventLoop loop;

    HttpReply call(HttpClient& client, const HttpAddress& address, HttpRequest request, Millis time = timeout)
    {
        std::optional<HttpReply> result;
        client.send(address, { .request = std::move(request), .deadline = loop.now() + time }, [&](HttpReply reply) {
            result = std::move(reply);
            loop.stop();
        });
        loop.run();
        REQUIRE(result);
        return *result;
    }
};

HttpRequest post(const std::string& body)
{
    return { .method = "POST", .target = "/x?y=1", .headers = {}, .body = body };
}

/// \returns All bytes that the listener on `port` sends after `text` until it closes the connection.
std::string rawExchange(std::uint16_t port, const std::string& text)
{
    const int socket = ::socket(AF_INET, SOCK_STREAM, 0);
    sockaddr_in address {};
    address.sin_family = AF_INET;
    address.sin_port = htons(port);
    inet_pton(AF_INET, "127.0.0.1", &address.sin_addr);
    REQUIRE(::connect(socket, reinterpret_cast<const sockaddr*>(&address), sizeof address) == 0);
    REQUIRE(::send(socket, text.data(), text.size(), 0) == static_cast<ssize_t>(text.size()));
    std::string answer;
    char buffer[1'024];
    for (ssize_t got = 0; (got = ::recv(socket, buffer, sizeof buffer, 0)) > 0;)
        answer.append(buffer, static_cast<std::size_t>(got));
    ::close(socket);
    return answer;
}

} // namespace

TEST_CASE("Calls are answered one after the other over one connection")
{
    Exchange exchange;
    const HttpListener listener(exchange.loop, { .address = { "127.0.0.1", 0 } }, [](const HttpRequest& request, const HttpResponder& respond) {
        respond({ .status = 201, .headers = {}, .body = request.method + ' ' + request.target + ' ' + request.body });
    });
    HttpClient client(exchange.loop, {});
    for (int i = 0; i < 3; ++i) {
        const HttpReply reply = exchange.call(client, { "127.0.0.1", listener.port() }, post("body"));
        CHECK(reply.delivery == Delivery::Answered);
        CHECK(reply.response.status == 201);
        CHECK(reply.response.body == "POST /x?y=1 body");
    }
    CHECK(client.counts().connections == 1);
}

TEST_CASE("A call that times out is unanswered, and its late response is ignored")
{
    Exchange exchange;
    HttpResponder late;
    const HttpListener listener(exchange.loop, { .address = { "127.0.0.1", 0 } }, [&](const HttpRequest& request, const HttpResponder& respond) {
        if (request.body == "first")
            late = respond;
        else
            respond({ .status = 200, .headers = {}, .body = request.body });
    });
    HttpClient client(exchange.loop, {});
    const HttpAddress address { "127.0.0.1", listener.port() };
    CHECK(exchange.call(client, address, post("first"), Millis(100)).delivery == Delivery::Unanswered);
    late({ .status = 200, .headers = {}, .body = "first" });
    const HttpReply second = exchange.call(client, address, post("second"));
    CHECK(second.response.body == "second");
    CHECK(client.counts().connections == 2);
}

/// Guards against requests that a partition holds up and delivers after their call has timed out: a reset discards them.
TEST_CASE("A call that times out resets its connection")
{
    Exchange exchange;
    const int listener = ::socket(AF_INET, SOCK_STREAM, 0);
    sockaddr_in local {};
    local.sin_family = AF_INET;
    inet_pton(AF_INET, "127.0.0.1", &local.sin_addr);
    socklen_t length = sizeof local;
    REQUIRE(::bind(listener, reinterpret_cast<const sockaddr*>(&local), sizeof local) == 0);
    REQUIRE(::listen(listener, 1) == 0);
    REQUIRE(::getsockname(listener, reinterpret_cast<sockaddr*>(&local), &length) == 0);
    HttpClient client(exchange.loop, {});
    CHECK(exchange.call(client, { "127.0.0.1", ntohs(local.sin_port) }, post("x"), Millis(100)).delivery == Delivery::Unanswered);
    const int accepted = ::accept(listener, nullptr, nullptr);
    char buffer[1'024];
    ssize_t got = 0;
    while ((got = ::recv(accepted, buffer, sizeof buffer, 0)) > 0) { }
    CHECK(got < 0);
    CHECK(errno == ECONNRESET);
    ::close(accepted);
    ::close(listener);
}

TEST_CASE("A call to a port without a listener is reported as not sent")
{
    Exchange exchange;
    std::uint16_t port = 0;
    {
        const HttpListener listener(exchange.loop, { .address = { "127.0.0.1", 0 } }, [](const HttpRequest&, const HttpResponder&) {});
        port = listener.port();
    }
    HttpClient client(exchange.loop, {});
    CHECK(exchange.call(client, { "127.0.0.1", port }, post("x")).delivery == Delivery::NotSent);
    CHECK(exchange.call(client, { "nonsense", 1 }, post("x")).delivery == Delivery::NotSent);
}

TEST_CASE("A call on a kept connection that the peer closes is not sent a second time")
{
    // The library that the request service uses retries such a call automatically.
    Exchange exchange;
    int seen = 0;
    std::optional<HttpListener> listener;
    listener.emplace(exchange.loop, HttpListenerOptions { .address = { "127.0.0.1", 0 } }, [&](const HttpRequest& request, const HttpResponder& respond) {
        ++seen;
        if (request.body == "keep")
            respond({ .status = 200, .headers = {}, .body = {} });
        // Any other request is dropped with its connection.
    });
    HttpClient client(exchange.loop, {});
    const HttpAddress address { "127.0.0.1", listener->port() };
    CHECK(exchange.call(client, address, post("keep")).delivery == Delivery::Answered);
    CHECK(exchange.call(client, address, post("drop"), Millis(200)).delivery == Delivery::Unanswered);
    CHECK(seen == 2);
}

TEST_CASE("Calls beyond the maximum number of connections are queued")
{
    Exchange exchange;
    std::vector<HttpResponder> held;
    const HttpListener listener(exchange.loop, { .address = { "127.0.0.1", 0 } }, [&](const HttpRequest&, const HttpResponder& respond) { held.push_back(respond); });
    HttpClient client(exchange.loop, { .maxConnections = 2 });
    int answered = 0;
    for (int i = 0; i < 3; ++i) {
        client.send({ "127.0.0.1", listener.port() }, { .request = post("x"), .deadline = exchange.loop.now() + timeout }, [&](const HttpReply&) {
            if (++answered == 3)
                exchange.loop.stop();
        });
    }
    std::function<void()> release = [&] {
        for (const HttpResponder& respond : std::exchange(held, {}))
            respond({ .status = 200, .headers = {}, .body = {} });
        exchange.loop.callAt(exchange.loop.now() + Millis(5), release);
    };
    release();
    exchange.loop.run();
    CHECK(answered == 3);
    CHECK(client.counts().connections == 2);
}

TEST_CASE("A listener that stops soon accepts connections and closes each after its response")
{
    Exchange exchange;
    HttpListener listener(exchange.loop, { .address = { "127.0.0.1", 0 } }, [](const HttpRequest&, const HttpResponder& respond) { respond({ .status = 200, .headers = {}, .body = {} }); });
    HttpClient client(exchange.loop, {});
    const HttpAddress address { "127.0.0.1", listener.port() };
    CHECK(exchange.call(client, address, post("a")).delivery == Delivery::Answered);
    listener.closeAfterAnswers();
    CHECK(exchange.call(client, address, post("b")).delivery == Delivery::Answered);
    CHECK(exchange.call(client, address, post("c")).delivery == Delivery::Answered);
    CHECK(client.counts().connections == 2);
}

TEST_CASE("Invalid HTTP gets 400 and a body over the limit 413, and the listener keeps serving")
{
    Exchange exchange;
    const HttpListener listener(exchange.loop, { .address = { "127.0.0.1", 0 }, .maxBodyBytes = 10 }, [](const HttpRequest&, const HttpResponder& respond) { respond({ .status = 200, .headers = {}, .body = {} }); });
    std::string garbage;
    std::string large;
    std::thread peer([&] {
        garbage = rawExchange(listener.port(), "this is not http\r\n\r\n");
        large = rawExchange(listener.port(), "POST / HTTP/1.1\r\nHost: x\r\nContent-Length: 11\r\n\r\n12345678901");
        exchange.loop.stop();
    });
    exchange.loop.run();
    peer.join();
    CHECK(garbage.find(" 400 ") != std::string::npos);
    CHECK(large.find(" 413 ") != std::string::npos);
    HttpClient client(exchange.loop, {});
    CHECK(exchange.call(client, { "127.0.0.1", listener.port() }, post("ok")).response.status == 200);
}

// Guards against input outside of header and body, which their limits do not bound: trailers without end took a process to 2.8 GB.
TEST_CASE("A chunk header or trailer over the limit of a header gets 400")
{
    Exchange exchange;
    int handled = 0;
    const HttpListener listener(exchange.loop, { .address = { "127.0.0.1", 0 }, .maxHeaderBytes = 1'024 }, [&](const HttpRequest&, const HttpResponder& respond) {
        ++handled;
        respond({ .status = 200, .headers = {}, .body = {} });
    });
    const std::string head = "POST / HTTP/1.1\r\nHost: x\r\nTransfer-Encoding: chunked\r\n\r\n";
    const std::string filler(6'000, 'x');
    std::vector<std::string> answers;
    std::thread peer([&] {
        answers.push_back(rawExchange(listener.port(), head + "2;x=" + filler));
        answers.push_back(rawExchange(listener.port(), head + "2\r\n{}\r\n0\r\nX-Trailer: " + filler));
        answers.push_back(rawExchange(listener.port(), head + "2;x=y\r\n{}\r\n0\r\nX-Trailer: y\r\n\r\n" + "GET / HTTP/1.1\r\nConnection: close\r\n\r\n"));
        exchange.loop.stop();
    });
    exchange.loop.run();
    peer.join();
    CHECK(answers[0].find(" 400 ") != std::string::npos);
    CHECK(answers[1].find(" 400 ") != std::string::npos);
    CHECK(answers[2].find(" 200 ") != std::string::npos);
    CHECK(handled == 2);
}

// Guards against a reset that discards the response, since the client's input was not read to its end.
TEST_CASE("A refused client that still sends can read its response")
{
    Exchange exchange;
    const HttpListener listener(exchange.loop, { .address = { "127.0.0.1", 0 }, .maxBodyBytes = 10 }, [](const HttpRequest&, const HttpResponder& respond) { respond({ .status = 200, .headers = {}, .body = {} }); });
    std::string answer;
    std::thread peer([&] {
        answer = rawExchange(listener.port(), "POST / HTTP/1.1\r\nContent-Length: 500000\r\n\r\n" + std::string(500'000, 'x'));
        exchange.loop.stop();
    });
    exchange.loop.run();
    peer.join();
    CHECK(answer.find(" 413 ") != std::string::npos);
}

// Guards against a refusal of a job that is taken all the same, and against losing a request that was read whole.
TEST_CASE("A request without memory gets 503 and is not handled, and the one that has it is answered")
{
    Exchange exchange;
    std::vector<HttpResponder> held;
    std::vector<RefusalReason> refused;
    const auto budget = std::make_shared<ConnectionBudget>(ConnectionBudgetOptions { .maxBytes = 100'000 });
    const HttpListener listener(
        exchange.loop, { .address = { "127.0.0.1", 0 }, .budget = budget, .handlingBytes = [](const HttpRequest&) { return 60'000; }, .onRefused = [&](RefusalReason reason) { refused.push_back(reason); } },
        [&](const HttpRequest&, const HttpResponder& respond) {
            held.push_back(respond);
            exchange.loop.stop();
        });
    HttpClient client(exchange.loop, {});
    const HttpAddress address { "127.0.0.1", listener.port() };
    std::optional<HttpReply> first;
    client.send(address, { .request = post("first"), .deadline = exchange.loop.now() + timeout }, [&](HttpReply reply) {
        first = std::move(reply);
        exchange.loop.stop();
    });
    exchange.loop.run(); // Until the first request is being handled.
    REQUIRE(held.size() == 1);
    const HttpReply second = exchange.call(client, address, post("second"));
    CHECK(second.response.status == 503);
    CHECK(second.response.headers.find("Retry-After") == "1");
    CHECK(held.size() == 1);
    CHECK(refused == std::vector { RefusalReason::Memory });
    held.front()({ .status = 200, .headers = {}, .body = {} });
    exchange.loop.run();
    REQUIRE(first);
    CHECK(first->response.status == 200);
}

// Guards against a Retry-After for a request that can never be handled.
TEST_CASE("A request that needs more than all memory gets 413 and is not handled")
{
    Exchange exchange;
    const auto budget = std::make_shared<ConnectionBudget>(ConnectionBudgetOptions { .maxBytes = 100'000 });
    bool isHandled = false;
    const HttpListener listener(
        exchange.loop, { .address = { "127.0.0.1", 0 }, .budget = budget, .handlingBytes = [](const HttpRequest&) { return 100'000; } },
        [&](const HttpRequest&, const HttpResponder&) { isHandled = true; });
    HttpClient client(exchange.loop, {});
    const HttpReply reply = exchange.call(client, { "127.0.0.1", listener.port() }, post("wide"));
    CHECK(reply.response.status == 413);
    CHECK_FALSE(reply.response.headers.find("Retry-After"));
    CHECK_FALSE(isHandled);
}

// Guards against limits that ordinary clients meet.
TEST_CASE("With the default limits the largest body and pipelined requests are answered in order")
{
    Exchange exchange;
    const HttpListener listener(exchange.loop, { .address = { "127.0.0.1", 0 } }, [](const HttpRequest& request, const HttpResponder& respond) { respond({ .status = 200, .headers = {}, .body = request.target + ':' + std::to_string(request.body.size()) + ';' }); });
    const std::string body(HttpListenerOptions {}.maxBodyBytes, 'x');
    std::string answer;
    std::thread peer([&] {
        std::string requests;
        for (int i = 0; i < 50; ++i)
            requests += "POST /" + std::to_string(i) + " HTTP/1.1\r\nContent-Length: 2\r\n\r\n{}";
        answer = rawExchange(listener.port(), requests + "POST /last HTTP/1.1\r\nConnection: close\r\nContent-Length: " + std::to_string(body.size()) + "\r\n\r\n" + body);
        exchange.loop.stop();
    });
    exchange.loop.run();
    peer.join();
    std::size_t position = 0;
    for (int i = 0; i < 50; ++i) {
        position = answer.find('/' + std::to_string(i) + ":2;", position);
        REQUIRE(position != std::string::npos);
    }
    CHECK(answer.find("/last:" + std::to_string(body.size()) + ';', position) != std::string::npos);
}

// Guards against calls that wait for a connection and are sent after their callers timed out.
TEST_CASE("A call whose deadline passes before a connection is free is never sent")
{
    Exchange exchange;
    HttpResponder first;
    int seen = 0;
    const HttpListener listener(exchange.loop, { .address = { "127.0.0.1", 0 } }, [&](const HttpRequest& request, const HttpResponder& respond) {
        ++seen;
        if (request.body == "first")
            first = respond;
        else
            respond({ .status = 200, .headers = {}, .body = {} });
    });
    HttpClient client(exchange.loop, { .maxConnections = 1 });
    const HttpAddress address { "127.0.0.1", listener.port() };
    client.send(address, { .request = post("first"), .deadline = exchange.loop.now() + timeout }, [](const HttpReply&) {});
    exchange.loop.callAt(exchange.loop.now() + Millis(300), [&] { first({ .status = 200, .headers = {}, .body = {} }); });
    CHECK(exchange.call(client, address, post("second"), Millis(100)).delivery == Delivery::NotSent);
    CHECK(exchange.call(client, address, post("third")).delivery == Delivery::Answered);
    CHECK(seen == 2);
}

namespace {

/// A server that accepts one connection and sends `partsSent` of ten parts of a response body, with a pause after each.
struct SlowServer {
    SlowServer(std::size_t partsSent, Millis pause)
    {
        constexpr std::size_t partsOfBody = 10;
        m_listener = ::socket(AF_INET, SOCK_STREAM, 0);
        sockaddr_in address {};
        address.sin_family = AF_INET;
        inet_pton(AF_INET, "127.0.0.1", &address.sin_addr);
        REQUIRE(::bind(m_listener, reinterpret_cast<const sockaddr*>(&address), sizeof address) == 0);
        REQUIRE(::listen(m_listener, 1) == 0);
        socklen_t size = sizeof address;
        REQUIRE(::getsockname(m_listener, reinterpret_cast<sockaddr*>(&address), &size) == 0);
        port = ntohs(address.sin_port);
        m_thread = std::thread([this, partsSent, pause] {
            const int connection = ::accept(m_listener, nullptr, nullptr);
            char buffer[1'024];
            static_cast<void>(::recv(connection, buffer, sizeof buffer, 0));
            const std::string part(100, 'x');
            const std::string head = "HTTP/1.1 200 OK\r\nContent-Length: " + std::to_string(partsOfBody * part.size()) + "\r\n\r\n";
            static_cast<void>(::send(connection, head.data(), head.size(), MSG_NOSIGNAL));
            for (std::size_t sent = 0; sent < partsSent; ++sent) {
                static_cast<void>(::send(connection, part.data(), part.size(), MSG_NOSIGNAL));
                std::this_thread::sleep_for(pause);
            }
            static_cast<void>(::recv(connection, buffer, sizeof buffer, 0)); // Until the client closes.
            ::close(connection);
        });
    }

    ~SlowServer()
    {
        ::shutdown(m_listener, SHUT_RDWR);
        ::close(m_listener);
        m_thread.join();
    }

    std::uint16_t port = 0;

private:
    int m_listener = -1;
    std::thread m_thread;
};

/// \returns The reply to a call whose response has to begin within 200 ms and may take 5 s; increments `bodyStarts` when it begins.
HttpReply callSlow(std::uint16_t port, int& bodyStarts, bool wantsRest = true)
{
    Exchange exchange;
    HttpClient client(exchange.loop, { .stallTimeout = Millis(300) });
    std::optional<HttpReply> result;
    const jobs::MonotonicInstant now = exchange.loop.now();
    client.send({ "127.0.0.1", port }, { .request = post("x"), .deadline = now + Millis(200), .transferDeadline = now + timeout, .onBodyStart = [&] {
                                            ++bodyStarts;
                                            return wantsRest;
                                        } },
        [&](HttpReply reply) {
            result = std::move(reply);
            exchange.loop.stop();
        });
    exchange.loop.run();
    REQUIRE(result);
    return *result;
}

} // namespace

// Guards against large responses that are read in small pieces. Each piece waits for a turn of the event loop: the owner of 1,100 workers read
// an answer to its watch in 512-byte pieces, so that its replica of the jobs became too old and it started no tasks.
TEST_CASE("A large response is read in large pieces")
{
    constexpr std::size_t bodyBytes = 400'000;
    constexpr std::size_t minBytesPerRead = 8'192;
    Exchange exchange;
    const HttpListener listener(exchange.loop, { .address = { "127.0.0.1", 0 } }, [](const HttpRequest&, const HttpResponder& respond) {
        respond({ .status = 200, .headers = {}, .body = std::string(bodyBytes, 'x') });
    });
    HttpClient client(exchange.loop, {});
    for (std::uint64_t calls = 1; calls <= 3; ++calls) {
        const HttpReply reply = exchange.call(client, { "127.0.0.1", listener.port() }, post("body"));
        CHECK(reply.response.body.size() == bodyBytes);
        CHECK(client.counts().reads <= calls * bodyBytes / minBytesPerRead);
    }
}

// Guards against a server that ends the process by trailers, which the limit of the body does not bound.
TEST_CASE("A response with a trailer or chunk header without end is not answered")
{
    const std::string head = "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n";
    for (const std::string& opening : { head + "2;x=", head + "2\r\n{}\r\n0\r\n" }) {
        const test::HostileServer server({ .opening = opening, .repeated = "x", .maxBytes = 10'000'000 }, [] { return true; });
        Exchange exchange;
        HttpClient client(exchange.loop, {});
        const std::optional<HttpAddress> address = parseAddress(server.address());
        REQUIRE(address);
        CHECK(exchange.call(client, *address, post("x"), Millis(20'000)).delivery == Delivery::Unanswered);
        CHECK(server.sentBytes() < 10'000'000);
    }
}

// Guards against servers whose responses together hold more memory than the process has, each within the limit of one.
TEST_CASE("Responses beyond the memory of all of them end the call that was sent first")
{
    const test::HostileServer server({ .opening = "HTTP/1.1 200 OK\r\nContent-Length: 800000\r\n\r\n" + std::string(700'000, 'x') }, [] { return true; });
    Exchange exchange;
    const auto budget = std::make_shared<ConnectionBudget>(ConnectionBudgetOptions { .maxBytes = 1'000'000 });
    HttpClient client(exchange.loop, { .budget = budget });
    const std::optional<HttpAddress> address = parseAddress(server.address());
    REQUIRE(address);
    std::vector<int> ended;
    const auto send = [&](int call, std::function<bool()> onBodyStart) {
        client.send(*address, { .request = post("x"), .deadline = exchange.loop.now() + Millis(20'000), .onBodyStart = std::move(onBodyStart) }, [&ended, &exchange, call](const HttpReply& reply) {
            CHECK(reply.delivery == Delivery::Unanswered);
            ended.push_back(call);
            exchange.loop.stop();
        });
    };
    send(1, [&] {
        send(2, {});
        return true;
    });
    exchange.loop.run();
    CHECK(ended == std::vector { 1 });
    CHECK(budget->bytes() <= 1'000'000);
}

// Guards against large responses that time out while they arrive, and are requested again over the same link.
TEST_CASE("A response that keeps arriving may take longer than the deadline for its beginning")
{
    const SlowServer server(10, Millis(50));
    int bodyStarts = 0;
    const HttpReply reply = callSlow(server.port, bodyStarts);
    CHECK(reply.delivery == Delivery::Answered);
    CHECK(reply.response.body.size() == 1'000);
    CHECK(bodyStarts == 1);
}

// Guards against two transfers of one document over a narrow link at once.
TEST_CASE("A call whose response is declined ends when the response begins")
{
    const SlowServer server(10, Millis(200));
    int bodyStarts = 0;
    const auto before = std::chrono::steady_clock::now();
    CHECK(callSlow(server.port, bodyStarts, false).delivery == Delivery::Abandoned);
    CHECK(std::chrono::steady_clock::now() - before < std::chrono::milliseconds(1'000));
    CHECK(bodyStarts == 1);
}

TEST_CASE("A response that stalls or does not begin is lost after its timeout")
{
    for (const std::size_t parts : { 0, 3 }) {
        const SlowServer server(parts, Millis(0));
        int bodyStarts = 0;
        const auto before = std::chrono::steady_clock::now();
        CHECK(callSlow(server.port, bodyStarts).delivery == Delivery::Unanswered);
        CHECK(std::chrono::steady_clock::now() - before < std::chrono::milliseconds(1'500));
        CHECK(bodyStarts == (parts > 0 ? 1 : 0));
    }
}
