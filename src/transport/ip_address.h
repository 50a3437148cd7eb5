#pragma once

#include <utility>

#include <boost/asio/ip/tcp.hpp>

#include <string>
#include <string_view>

namespace lacewing {

/// @brief Parses "ip:port"; an IPv6 address is written in brackets. Host names are not resolved.
/// @throws std::invalid_argument if the text cannot be parsed.
boost::asio::ip::tcp::endpoint parse_socket_address(std::string_view text);

/// @brief Formats an address as "ip:port", the form that parse_socket_address reads.
std::string to_string(const boost::asio::ip::tcp::endpoint& address);

} // namespace lacewing
