#pragma once

#include <utility>

#include <boost/asio.hpp>

#include <array>
#include <memory>
#include <string>
#include <vector>

namespace lacewing::testing {

/// @brief Passes connections on to a server, and can put it in trouble: silence() makes open connections
/// carry nothing more without closing them, set_endless_answer() answers in place of the server. Must be used
/// on the thread of its context, but for these two functions.
class silencing_proxy {
public:
    /// @param listen, target Addresses "ip:port".
    silencing_proxy(boost::asio::io_context& context, const std::string& listen, const std::string& target);

    /// @brief Silences all connections that are open now. May be called on any thread; returns when done.
    void silence();

    /// @brief From now on, requests are answered with bytes without end instead of being passed on.
    /// @param begin First bytes of each answer.
    /// @param repeated What follows again and again; empty ends this.
    void set_endless_answer(const std::string& begin, const std::string& repeated);

private:
    struct link {
        explicit link(boost::asio::io_context& context) : client(context), server(context) {}
        boost::asio::ip::tcp::socket client;
        boost::asio::ip::tcp::socket server;
        bool silent = false;
    };

    boost::asio::awaitable<void> accept();
    boost::asio::awaitable<void> serve(std::shared_ptr<link> connection);
    boost::asio::awaitable<void> relay(std::shared_ptr<link> connection, bool to_server);
    boost::asio::awaitable<void> write_endless_answer(std::shared_ptr<link> connection);

    boost::asio::io_context& context_;
    boost::asio::ip::tcp::acceptor acceptor_;
    boost::asio::ip::tcp::endpoint target_;
    std::vector<std::shared_ptr<link>> links_;
    std::string endless_begin_;
    std::string endless_piece_;
};

} // namespace lacewing::testing
