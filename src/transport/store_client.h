#pragma once

#include "state/ids.h"
#include "state/object_event.h"
#include "state/time_ms.h"
#include "transport/http_client.h"

#include <boost/asio/any_io_executor.hpp>
#include <boost/asio/awaitable.hpp>

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <variant>
#include <vector>

namespace lacewing {

/// @brief The write took effect at this revision.
struct store_write_applied {
    revision_id revision;
};

/// @brief Another write has changed the object since the expected revision.
struct store_conflict {
    /// Revision of the object now; 0 when it does not exist.
    revision_id current;
    /// An attempt of this call lost its answer, so it may have taken effect before the other write replaced
    /// it.
    bool may_have_taken_effect = false;
};

/// @brief The store gave no usable answer.
struct store_unreachable {
    /// False only when no byte of a request reached the store. A write may also take effect after this
    /// result.
    bool may_have_taken_effect = false;
    std::string detail;
};

/// @brief Objects or events of one answer, and the store's revision at that time.
struct store_objects {
    revision_id revision;
    std::vector<object_event> objects;
};

using store_write_result = std::variant<store_write_applied, store_conflict, store_unreachable>;
/// The object, or nothing when it does not exist.
using store_get_result = std::variant<std::optional<object_event>, store_unreachable>;
using store_list_result = std::variant<store_objects, store_unreachable>;
/// JSON text.
using store_text_result = std::variant<std::string, store_unreachable>;

struct store_client_options {
    time_ms call_timeout{3000};
    /// Bounds one write with all attempts to learn its outcome; the last attempt may exceed it by a
    /// call_timeout.
    time_ms write_deadline{10000};
    time_ms retry_pause{50};
};

/// @brief Client of the platform's object store. Must be used on one thread at a time and outlive its calls.
class store_client {
public:
    /// @param address "ip:port" of the store.
    /// @param incarnation Of this process; writes are marked with it.
    store_client(boost::asio::any_io_executor executor, std::string_view address, incarnation_id incarnation,
                 const store_client_options& options = {});

    /// @brief Writes an object if it is at the expected revision. A write whose answer is lost is settled by
    /// reading the object back and, when it is unchanged, sent again: the condition on the revision lets at
    /// most one attempt take effect.
    /// @param value JSON object; the member "written_by" is added or replaced.
    /// @param expected 0 when the object must not exist.
    /// @throws error when the value is not a JSON object, is larger than 1 MB, or the store rejects the
    /// request.
    boost::asio::awaitable<store_write_result> put(std::string key, std::string value, revision_id expected);

    /// @brief Deletes an object if it is at the expected revision. After a lost answer an absent object
    /// counts as deleted by this call, with the store's revision at the time of the reading.
    /// @throws error when the store rejects the request.
    boost::asio::awaitable<store_write_result> erase(std::string key, revision_id expected);

    boost::asio::awaitable<store_get_result> get(std::string key);
    boost::asio::awaitable<store_list_result> list(std::string prefix);
    /// @brief Waits for events after a revision.
    /// @param wait The store answers with no events after this time.
    boost::asio::awaitable<store_list_result> watch(std::string prefix, revision_id after, time_ms wait);
    /// @brief The platform's lagging list of live and leaving VMs.
    boost::asio::awaitable<store_text_result> vms();

private:
    struct write_request {
        std::string method;
        std::string key;
        std::string body;
        /// Empty for a deletion.
        std::string written_by;
        revision_id expected;
    };
    using call_result = std::variant<http_response, store_unreachable>;

    boost::asio::awaitable<call_result> call(std::string method, std::string target, http_headers headers,
                                             std::string body, time_ms timeout);
    boost::asio::awaitable<store_write_result> write(write_request request);
    boost::asio::awaitable<std::optional<store_write_result>> settle(const write_request& request);
    boost::asio::awaitable<std::optional<store_write_result>> settle_deletion(const write_request& request);
    boost::asio::awaitable<store_list_result> fetch_objects(std::string target, std::string_view member,
                                                            time_ms timeout);

    boost::asio::any_io_executor executor_;
    http_client client_;
    store_client_options options_;
    incarnation_id incarnation_;
    std::uint64_t sequence_ = 0;
};

} // namespace lacewing
