#include "transport/ip_address.h"

#include <boost/asio/ip/address.hpp>

#include <fmt/format.h>

#include <charconv>
#include <cstdint>
#include <stdexcept>

namespace lacewing {

boost::asio::ip::tcp::endpoint parse_socket_address(std::string_view text) {
    const auto colon = text.rfind(':');
    if (colon == std::string_view::npos)
        throw std::invalid_argument(fmt::format("'{}' is not ip:port", text));
    auto host = text.substr(0, colon);
    const auto port_text = text.substr(colon + 1);
    if (host.size() > 2 && host.front() == '[' && host.back() == ']') host = host.substr(1, host.size() - 2);
    std::uint16_t port = 0;
    const auto* end = port_text.data() + port_text.size();
    const auto parsed = std::from_chars(port_text.data(), end, port);
    boost::system::error_code failure;
    const auto ip = boost::asio::ip::make_address(std::string(host), failure);
    if (failure || parsed.ec != std::errc{} || parsed.ptr != end) {
        throw std::invalid_argument(fmt::format("'{}' is not ip:port", text));
    }
    return {ip, port};
}

std::string to_string(const boost::asio::ip::tcp::endpoint& address) {
    const auto host = address.address().to_string();
    if (address.address().is_v6()) return fmt::format("[{}]:{}", host, address.port());
    return fmt::format("{}:{}", host, address.port());
}

} // namespace lacewing
