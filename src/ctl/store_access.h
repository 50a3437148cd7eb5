#pragma once

#include "state/ids.h"
#include "transport/http_client.h"

#include <boost/asio/io_context.hpp>
#include <cstdint>
#include <json/value.h>
#include <memory>
#include <optional>
#include <stdexcept>
#include <string>
#include <vector>

namespace lacewing::ctl {

/// @brief The store gave no usable answer.
class store_unreachable : public std::runtime_error {
public:
    using std::runtime_error::runtime_error;
};

struct stored_object {
    std::string key;
    revision_id revision;
    Json::Value value;
};

struct write_result {
    bool written = false;
    /// Revision of the write, or of the object that stood in its way.
    revision_id revision;
};

/// @brief Blocking access to the platform's store for a command-line tool.
class store_access {
public:
    explicit store_access(const std::string& address);

    /// @throws store_unreachable
    std::optional<stored_object> get(const std::string& key);
    /// @throws store_unreachable
    std::vector<stored_object> list(const std::string& prefix);
    /// @brief Conditional write; revision 0 means that the object must not exist. After a lost answer the
    /// object is read back and recognised by its written_by mark.
    /// @throws store_unreachable
    write_result put(const std::string& key, Json::Value value, revision_id expected);
    /// @brief Conditional deletion. After a lost answer an absent object counts as deleted by this call, with
    /// the store's revision at that time.
    /// @throws store_unreachable
    write_result erase(const std::string& key, revision_id expected);

private:
    revision_id store_revision();
    http_response send(const std::string& method, const std::string& target, http_headers headers,
                       const std::string& body);

    std::unique_ptr<boost::asio::io_context> loop_;
    http_client client_;
    std::string incarnation_;
    std::uint64_t writes_ = 0;
};

/// @brief Sends one request and waits for its answer.
/// @throws http_error
http_response request_and_wait(boost::asio::io_context& loop, http_client& client, const std::string& method,
                               const std::string& target, http_headers headers, const std::string& body,
                               time_ms timeout);

/// @brief Parses JSON; throws std::runtime_error that names the source when it is malformed.
Json::Value parse_json(const std::string& text, const std::string& source);

} // namespace lacewing::ctl
