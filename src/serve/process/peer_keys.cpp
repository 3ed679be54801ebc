#include "lanemoor/serve/process/peer_keys.h"

#include <array>
#include <atomic>
#include <chrono>
#include <fcntl.h>
#include <fstream>
#include <string_view>
#include <thread>
#include <unistd.h>
#include <vector>
#include <zmq.hpp>

namespace lanemoor {

namespace {

constexpr std::size_t keyBytes = 40; ///< In Z85 encoding.
constexpr std::size_t binaryKeyBytes = 32;
constexpr std::chrono::milliseconds stopCheckInterval { 100 };
constexpr const char* zapAddress = "inproc://zeromq.zap.01";
/// Frame indices of a ZAP request: version, id, domain, address, identity, mechanism, key.
constexpr std::size_t zapRequestId = 1;
constexpr std::size_t zapMechanism = 5;
constexpr std::size_t zapKey = 6;

} // namespace

std::optional<PeerKeys> readPeerKeys(const std::string& file)
{
    std::ifstream in(file);
    PeerKeys keys;
    if (!(in >> keys.publicKey >> keys.secretKey) || keys.publicKey.size() != keyBytes || keys.secretKey.size() != keyBytes)
        return std::nullopt;
    return keys;
}

bool writePeerKeys(const std::string& file)
{
    std::array<char, keyBytes + 1> publicKey {};
    std::array<char, keyBytes + 1> secretKey {};
    if (zmq_curve_keypair(publicKey.data(), secretKey.data()) != 0)
        return false;
    const int descriptor = ::open(file.c_str(), O_WRONLY | O_CREAT | O_EXCL | O_CLOEXEC, S_IRUSR | S_IWUSR);
    if (descriptor < 0)
        return false;
    const std::string text = std::string(publicKey.data()) + '\n' + secretKey.data() + '\n';
    const bool written = ::write(descriptor, text.data(), text.size()) == static_cast<ssize_t>(text.size());
    return ::close(descriptor) == 0 && written;
}

class PeerAuthenticator::Impl {
public:
    Impl(zmq::context_t& context, const std::string& publicKey)
        : m_socket(context, zmq::socket_type::rep)
        , m_publicKey(binaryKeyBytes, '\0')
    {
        zmq_z85_decode(reinterpret_cast<std::uint8_t*>(m_publicKey.data()), publicKey.c_str());
        m_socket.set(zmq::sockopt::linger, 0);
        m_socket.bind(zapAddress);
        m_thread = std::thread([this] { run(); });
    }

    ~Impl()
    {
        m_stopping = true;
        m_thread.join();
    }

    Impl(const Impl&) = delete;
    Impl& operator=(const Impl&) = delete;

private:
    void run()
    {
        while (!m_stopping) {
            zmq::pollitem_t item { m_socket.handle(), 0, ZMQ_POLLIN, 0 };
            zmq::poll(&item, 1, stopCheckInterval);
            if ((item.revents & ZMQ_POLLIN) != 0)
                answer();
        }
    }

    void answer()
    {
        std::vector<std::string> parts;
        bool more = true;
        while (more) {
            zmq::message_t part;
            if (!m_socket.recv(part))
                return;
            parts.push_back(part.to_string());
            more = part.more();
        }
        const bool permitted = parts.size() > zapKey && parts[zapMechanism] == "CURVE" && parts[zapKey] == m_publicKey;
        const std::string id = parts.size() > zapRequestId ? parts[zapRequestId] : std::string();
        const std::array<std::string, 6> reply { "1.0", id, permitted ? "200" : "400", permitted ? "OK" : "not a peer", "", "" };
        for (std::size_t i = 0; i < reply.size(); ++i)
            m_socket.send(zmq::buffer(reply[i]), i + 1 < reply.size() ? zmq::send_flags::sndmore : zmq::send_flags::none);
    }

    zmq::socket_t m_socket;
    std::string m_publicKey;
    std::atomic<bool> m_stopping { false };
    std::thread m_thread;
};

PeerAuthenticator::PeerAuthenticator(zmq::context_t& context, const std::string& publicKey)
    : m_impl(std::make_unique<Impl>(context, publicKey))
{
}

PeerAuthenticator::~PeerAuthenticator() = default;

} // namespace lanemoor
