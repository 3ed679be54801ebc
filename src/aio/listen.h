#pragma once
/// \file
/// Opens a listening port, internal to this folder.

#include "lanemoor/net/http_message.h"

#include <boost/asio/ip/tcp.hpp>

namespace lanemoor::aio {

/// \brief Lets `acceptor` listen on `address`.
/// \throws std::runtime_error if the address can't be listened on.
void listenOn(boost::asio::ip::tcp::acceptor& acceptor, const HttpAddress& address);

} // namespace lanemoor::aio
