#pragma once

#include "daemon/serve_state.h"

#include <utility>

#include <boost/asio.hpp>
#include <boost/beast.hpp>

#include <memory>

namespace lacewing {

/// @brief Serves one caller connection until it ends.
/// @param socket Accepted connection.
/// @param state State of the serve thread; outlives the coroutine.
boost::asio::awaitable<void> serve_caller(boost::asio::ip::tcp::socket socket, serve_state& state);

} // namespace lacewing
