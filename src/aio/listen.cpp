#include "listen.h"

#include <stdexcept>
#include <string>

namespace lanemoor::aio {

using Tcp = boost::asio::ip::tcp;

void listenOn(Tcp::acceptor& acceptor, const HttpAddress& address)
{
    boost::system::error_code error;
    const auto ip = boost::asio::ip::make_address_v4(address.ip, error);
    const Tcp::endpoint endpoint(ip, address.port);
    if (!error)
        acceptor.open(endpoint.protocol(), error);
    if (!error)
        acceptor.set_option(Tcp::acceptor::reuse_address(true), error);
    if (!error)
        acceptor.bind(endpoint, error);
    if (!error)
        acceptor.listen(boost::asio::socket_base::max_listen_connections, error);
    if (error)
        throw std::runtime_error("can't listen on " + address.ip + ':' + std::to_string(address.port) + ": " + error.message());
}

} // namespace lanemoor::aio
