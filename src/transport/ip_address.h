#pragma once

#include <utility>

#include <boost/asio/ip/tcp.hpp>

#include <string>
#include <string_view>

namespace lacewing {

/// @brief Parses "ip:port"; an IPv6 address stands in brackets.
/// @throws std::invalid_argument when the text has another form; names are not resolved.
boost::asio::ip::tcp::endpoint parse_socket_address(std::string_view text);

/// @brief Text form that parse_socket_address reads back.
std::string to_string(const boost::asio::ip::tcp::endpoint& address);

} // namespace lacewing
