#include "transport/endpoint_connection_pool.h"

#include "state/error_kind.h"
#include "transport/ip_address.h"
#include "transport/reset_on_close.h"

#include <fmt/format.h>

#include <algorithm>
#include <functional>

namespace lacewing {

namespace asio = boost::asio;

namespace {

constexpr std::size_t max_idle_per_endpoint = 32;
// Refusals that a connection remembers; it is not used again after more.
constexpr std::size_t max_refusals_per_connection = 64;

// A readable idle connection was closed by the endpoint or holds bytes that belong to no pending request.
bool is_reusable(endpoint_connection& connection) {
    auto& socket = connection.stream.socket();
    boost::system::error_code failure;
    socket.non_blocking(true, failure);
    if (failure) return false;
    char byte = 0;
    socket.receive(asio::buffer(&byte, 1), asio::socket_base::message_peek, failure);
    return failure == asio::error::would_block;
}

std::uint64_t digest_of(std::string_view request_id) {
    return std::hash<std::string_view>{}(request_id);
}

} // namespace

void endpoint_connection::record_refusal(std::string_view request_id) {
    refused.push_back(digest_of(request_id));
}

bool endpoint_connection::has_refused(std::string_view request_id) const {
    return std::find(refused.begin(), refused.end(), digest_of(request_id)) != refused.end();
}

std::shared_ptr<endpoint_connection>
endpoint_connection_pool::take_idle(std::string_view address, time_ms now, std::string_view request_id) {
    const auto found = idle_.find(std::string(address));
    if (found == idle_.end()) return nullptr;
    auto& idle_list = found->second;
    for (auto i = idle_list.size(); i-- > 0;) {
        if (!request_id.empty() && idle_list[i]->has_refused(request_id)) continue;
        auto connection = std::move(idle_list[i]);
        idle_list.erase(idle_list.begin() + static_cast<std::ptrdiff_t>(i));
        if (now - connection->idle_since < connection->idle_limit && is_reusable(*connection))
            return connection;
    }
    return nullptr;
}

std::shared_ptr<endpoint_connection> endpoint_connection_pool::create(std::string_view address) {
    auto connection = std::make_shared<endpoint_connection>(executor_);
    connection->address = std::string(address);
    return connection;
}

asio::awaitable<std::shared_ptr<endpoint_connection>> endpoint_connection_pool::connect(std::string address,
                                                                                        time_ms timeout) {
    auto connection = create(address);
    const auto target = parse_socket_address(connection->address);
    connection->stream.expires_after(std::chrono::milliseconds(timeout.count));
    boost::system::error_code failure;
    co_await connection->stream.async_connect(target, asio::redirect_error(asio::use_awaitable, failure));
    if (failure) {
        throw error(error_kind::endpoint_refused,
                    fmt::format("connect to endpoint {}: {}", connection->address, failure.message()));
    }
    connection->stream.socket().set_option(asio::ip::tcp::no_delay(true));
    set_reset_on_close(connection->stream.socket());
    co_return connection;
}

void endpoint_connection_pool::put_idle(std::shared_ptr<endpoint_connection> connection, time_ms now) {
    if (connection->buffer.size() != 0 || connection->refused.size() > max_refusals_per_connection) return;
    auto& idle_list = idle_[connection->address];
    if (idle_list.size() >= max_idle_per_endpoint) return;
    connection->stream.expires_never();
    connection->idle_since = now;
    connection->used_before = true;
    idle_list.push_back(std::move(connection));
}

void endpoint_connection_pool::close_expired(time_ms now) {
    for (auto& [address, idle_list] : idle_) {
        std::erase_if(idle_list, [now](const auto& connection) {
            return now - connection->idle_since >= connection->idle_limit;
        });
    }
    std::erase_if(idle_, [](const auto& entry) { return entry.second.empty(); });
}

void endpoint_connection_pool::drop_idle(std::string_view address, time_ms used_before) {
    const auto found = idle_.find(std::string(address));
    if (found == idle_.end()) return;
    std::erase_if(found->second,
                  [used_before](const auto& connection) { return connection->idle_since <= used_before; });
}

std::size_t endpoint_connection_pool::idle_count() const {
    std::size_t count = 0;
    for (const auto& [address, idle_list] : idle_)
        count += idle_list.size();
    return count;
}

} // namespace lacewing
