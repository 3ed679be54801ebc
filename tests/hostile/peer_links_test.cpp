/// The job service under peers that break the protocol between entry instances.
/// The checks depend on no speed: the process lives, memory and descriptors are within bounds, and an ordinary peer is answered.

#include "hostile/attacked_entry.h"
#include "support/raw_socket.h"

#include <catch2/catch.hpp>
#include <chrono>
#include <stdexcept>
#include <string>
#include <thread>

using namespace lanemoor;
using namespace lanemoor::test;

namespace {

constexpr std::uint16_t peersPort = 7'000;
constexpr unsigned entryPeerLinks = 60;
constexpr std::size_t megabyte = 1'048'576;
constexpr std::size_t frameLimit = 8 * megabyte;
constexpr std::uint64_t maxBytesPerPeer = 16 * megabyte; // Of peers that send without end.
constexpr unsigned holdingPeers = 50;
constexpr unsigned silentPeers = 150; // More than `entryPeerLinks`.
constexpr unsigned endlessPeers = 8;

std::string lengthPrefix(std::size_t length)
{
    std::string prefix;
    for (int shift = 24; shift >= 0; shift -= 8)
        prefix += static_cast<char>(length >> static_cast<unsigned>(shift));
    return prefix;
}

std::string frameOf(const std::string& content)
{
    return lengthPrefix(content.size()) + content;
}

/// The first frame of a relay: a `RelayFrame` whose `hello` has a name and 500 thousandths of a core.
std::string helloFrame(const std::string& name)
{
    const std::string hello = std::string("\x0a") + static_cast<char>(name.size()) + name + "\x10\xf4\x03";
    return frameOf(std::string("\x2a") + static_cast<char>(hello.size()) + hello);
}

/// A frame of `bytes` that consists of empty answers, each of two bytes.
std::string denseFrame(std::size_t bytes)
{
    std::string content;
    while (content.size() < bytes)
        content += std::string("\x1a\0", 2);
    return frameOf(content);
}

class AttackedPeers {
public:
    AttackedPeers()
        : m_entry({ { "limits", { { "peerLinks", entryPeerLinks } } }, { "policies", { { "relay", { { "workersPerCore", 4 } } } } } })
        , m_crowd(std::make_unique<HostileCrowd>([process = m_entry.process()] { return isWithinMemory(process); }))
    {
        REQUIRE(m_entry.servesAll());
        REQUIRE(answersRelay());
    }

    void add(const HostileScript& script, unsigned count) { m_crowd->add(address(), script, count); }

    void check()
    {
        m_entry.check("before the peers");
        m_crowd->start();
        m_crowd->waitUntilQuiet();
        m_entry.check("beside the peers");
        CHECK(answersRelay());
        CHECK(m_entry.acceptsJob());
        m_crowd.reset();
        CHECK(answersRelay());
        CHECK(m_entry.servesAll());
        m_entry.check("after the peers");
    }

private:
    [[nodiscard]] HttpAddress address() const { return { m_entry.addresses().front().ip, peersPort }; }

    /// \returns Whether a relay that connects and names itself gets a frame, after a bounded number of attempts.
    [[nodiscard]] bool answersRelay() const
    {
        constexpr int maxAttempts = 20;
        for (int attempt = 0; attempt < maxAttempts; ++attempt) {
            try {
                const RawSocket socket(address());
                if (socket.send(helloFrame("probe")) && !socket.readAll().empty())
                    return true;
            } catch (const std::runtime_error&) {
                // Refused, as long as the process starts.
            }
            std::this_thread::sleep_for(std::chrono::milliseconds(200));
        }
        return false;
    }

    AttackedEntry m_entry;
    std::unique_ptr<HostileCrowd> m_crowd;
};

} // namespace

// Guards against a limit for each frame without one for all: together the peers hold more than the process has.
TEST_CASE("A process outlives peers that never finish their frames")
{
    AttackedPeers peers;
    peers.add({ .opening = lengthPrefix(0xffffffff), .repeated = std::string(1'000, 'x'), .maxBytes = maxBytesPerPeer }, endlessPeers);
    peers.add({ .opening = lengthPrefix(frameLimit) + std::string(frameLimit - 1, 'x') }, holdingPeers);
    peers.check();
}

// Guards against frames of an allowed size that take many times as much memory once they are decoded.
TEST_CASE("A process outlives peers that send dense frames")
{
    AttackedPeers peers;
    peers.add({ .opening = denseFrame(frameLimit - 2) }, endlessPeers);
    peers.check();
}

// Guards against links that say nothing and keep the instances out that would carry calls.
TEST_CASE("A process serves peers beside more silent links than it may hold")
{
    AttackedPeers peers;
    peers.add({ .opening = {}, .reconnects = 1 }, silentPeers);
    peers.add({ .opening = lengthPrefix(1'000) + "half a frame", .reconnects = 1 }, silentPeers);
    peers.add({ .opening = frameOf({}), .reconnects = 1 }, silentPeers);
    peers.check();
}

// Guards against frames that pile up for peers that do not read, and against calls that wait for them.
TEST_CASE("A process outlives peers that name themselves and read nothing")
{
    AttackedPeers peers;
    for (unsigned i = 0; i < entryPeerLinks / 2; ++i)
        peers.add({ .opening = helloFrame("relay-" + std::to_string(i)), .repeated = frameOf({}), .maxBytes = megabyte }, 1);
    peers.check();
}

// Guards against limits that hold for each kind of peer alone.
TEST_CASE("A process outlives peers of all kinds at the same time")
{
    AttackedPeers peers;
    peers.add({ .opening = lengthPrefix(frameLimit) + std::string(frameLimit - 1, 'x'), .reconnects = 1 }, holdingPeers / 2);
    peers.add({ .opening = denseFrame(megabyte), .repeated = denseFrame(megabyte), .maxBytes = maxBytesPerPeer }, endlessPeers);
    peers.add({ .opening = {}, .repeated = frameOf({}), .maxBytes = megabyte }, endlessPeers);
    peers.add({ .opening = {}, .repeated = std::string(1'000, '\xff'), .maxBytes = maxBytesPerPeer, .reconnects = 10 }, endlessPeers);
    peers.add({ .opening = {}, .reconnects = 1 }, silentPeers);
    peers.add({ .opening = helloFrame("relay"), .reconnects = 10 }, endlessPeers);
    peers.check();
}
