#pragma once

#include <utility>

#include <boost/asio.hpp>

#include <array>
#include <memory>
#include <string>
#include <vector>

namespace lacewing::testing {

/// @brief Passes connections on to a server and can silence them: open connections then carry nothing more
/// and are not closed, while new ones work. Must be used on the thread of its context, but for silence().
class silencing_proxy {
public:
    /// @param listen, target Addresses "ip:port".
    silencing_proxy(boost::asio::io_context& context, const std::string& listen, const std::string& target);

    /// @brief Silences all connections that are open now. May be called on any thread; returns when done.
    void silence();

private:
    struct link {
        explicit link(boost::asio::io_context& context) : client(context), server(context) {}
        boost::asio::ip::tcp::socket client;
        boost::asio::ip::tcp::socket server;
        bool silent = false;
    };

    boost::asio::awaitable<void> accept();
    boost::asio::awaitable<void> serve(std::shared_ptr<link> connection);
    static boost::asio::awaitable<void> relay(std::shared_ptr<link> connection, bool to_server);

    boost::asio::io_context& context_;
    boost::asio::ip::tcp::acceptor acceptor_;
    boost::asio::ip::tcp::endpoint target_;
    std::vector<std::shared_ptr<link>> links_;
};

} // namespace lacewing::testing
