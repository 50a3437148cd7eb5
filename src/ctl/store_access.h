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

/// @brief The store did not answer, or its answer was an unexpected one.
class store_unreachable : public std::runtime_error {
public:
    using std::runtime_error::runtime_error;
};

/// @brief Object of the store with the revision of its last change.
struct stored_object {
    std::string key;
    revision_id revision;
    Json::Value value;
};

/// @brief Result of a conditional write or deletion.
struct write_result {
    /// False when the object did not have the expected revision.
    bool written = false;
    /// Revision of this write, or the object's current revision when nothing was written.
    revision_id revision;
};

/// @brief Blocking client of the platform's store.
class store_access {
public:
    explicit store_access(const std::string& address);

    /// @brief Reads an object; nothing when it does not exist.
    /// @throws store_unreachable
    std::optional<stored_object> get(const std::string& key);
    /// @brief Reads all objects whose key starts with a prefix.
    /// @throws store_unreachable
    std::vector<stored_object> list(const std::string& prefix);
    /// @brief Writes an object if its revision is `expected`; revision 0 means that it must not exist. After
    /// a lost answer, the object is read back and its written_by value shows whether the write took effect.
    /// @throws store_unreachable
    write_result put(const std::string& key, Json::Value value, revision_id expected);
    /// @brief Deletes an object if its revision is `expected`. When an answer was lost and the object is
    /// absent, it counts as deleted by this call, at the store's current revision.
    /// @throws store_unreachable
    write_result erase(const std::string& key, revision_id expected);

private:
    revision_id store_revision();
    http_response send(const std::string& method, const std::string& target, http_headers headers,
                       const std::string& body);

    std::unique_ptr<boost::asio::io_context> loop_;
    http_client client_;
    // Random id of this instance and number of its writes; together they make each written_by value unique.
    std::string incarnation_;
    std::uint64_t writes_ = 0;
};

/// @brief Sends one request and waits for its answer.
/// @throws http_error
http_response request_and_wait(boost::asio::io_context& loop, http_client& client, const std::string& method,
                               const std::string& target, http_headers headers, const std::string& body,
                               time_ms timeout);

/// @brief Parses a JSON object.
/// @param source Name of the origin of the text, for the error message.
/// @throws std::runtime_error when the text is not a JSON object.
Json::Value parse_json(const std::string& text, const std::string& source);

} // namespace lacewing::ctl
