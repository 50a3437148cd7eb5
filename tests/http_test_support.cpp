#include "http_test_support.h"

#include "transport/ip_address.h"

#include <boost/asio/read.hpp>
#include <boost/asio/redirect_error.hpp>
#include <boost/asio/write.hpp>

namespace lacewing::testing {

namespace asio = boost::asio;

asio::awaitable<std::string> raw_exchange(asio::io_context& loop, std::string address, std::string bytes) {
    asio::ip::tcp::socket socket(loop);
    co_await socket.async_connect(parse_socket_address(address), asio::use_awaitable);
    co_await asio::async_write(socket, asio::buffer(bytes), asio::use_awaitable);
    std::string answer;
    boost::system::error_code ended;
    co_await asio::async_read(socket, asio::dynamic_buffer(answer),
                              asio::redirect_error(asio::use_awaitable, ended));
    co_return answer;
}

} // namespace lacewing::testing
