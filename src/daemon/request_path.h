#pragma once

#include "daemon/serve_state.h"

#include <utility>

#include <boost/asio.hpp>
#include <boost/beast.hpp>

#include <memory>

namespace lacewing {

/// @brief Serves the requests of one caller connection, one after another, until the connection ends.
/// @param socket Accepted connection.
/// @param state State of the serve thread; must outlive the coroutine.
boost::asio::awaitable<void> serve_caller(boost::asio::ip::tcp::socket socket, serve_state& state);

} // namespace lacewing
