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

/// @brief The write was refused: the object is not at the expected revision.
struct store_conflict {
    /// Current revision of the object; 0 if it does not exist.
    revision_id current;
    /// An attempt of this call got no response, so it may have taken effect before another write replaced it.
    bool may_have_taken_effect = false;
};

/// @brief The store gave no usable response.
struct store_unreachable {
    /// False only if no byte of a request was sent. If true, a write may also take effect after this result
    /// is returned.
    bool may_have_taken_effect = false;
    /// Cause, for error messages.
    std::string detail;
};

/// @brief Objects or events of one response, with the store's revision at that time.
struct store_objects {
    revision_id revision;
    std::vector<object_event> objects;
};

using store_write_result = std::variant<store_write_applied, store_conflict, store_unreachable>;
/// The object, or nullopt if it does not exist.
using store_get_result = std::variant<std::optional<object_event>, store_unreachable>;
using store_list_result = std::variant<store_objects, store_unreachable>;
/// Response body as JSON text.
using store_text_result = std::variant<std::string, store_unreachable>;

struct store_client_options {
    /// Time limit of one HTTP exchange; a watch may take its wait time longer.
    time_ms call_timeout{3000};
    /// Time limit of one write with all attempts to determine its outcome. No new attempt starts after it;
    /// the last one, of up to two calls, may still be running then.
    time_ms write_deadline{10000};
    time_ms retry_delay{50};
};

/// @brief Client of the object store. Must be used on one thread at a time and outlive its calls.
class store_client {
public:
    /// @param address "ip:port" of the store.
    /// @param incarnation Incarnation of this process; each write is marked with it, so that it can be
    /// recognised.
    store_client(boost::asio::any_io_executor executor, std::string_view address, incarnation_id incarnation,
                 const store_client_options& options = {});

    /// @brief Writes an object if it is at the expected revision. If the response is lost, reads the object
    /// back and retries the write if the object is unchanged; the revision condition lets at most one attempt
    /// take effect.
    /// @param value JSON object; its member "written_by" is added or replaced.
    /// @param expected Expected revision; 0 if the object must not exist.
    /// @throws error if the value is not a JSON object or is larger than 1 MB, or if the store rejects the
    /// request.
    boost::asio::awaitable<store_write_result> put(std::string key, std::string value, revision_id expected);

    /// @brief Deletes an object if it is at the expected revision. If the response is lost and the object is
    /// then absent, it counts as deleted by this call, at the store's revision when it was looked up.
    /// @throws error if the store rejects the request.
    boost::asio::awaitable<store_write_result> erase(std::string key, revision_id expected);

    /// @brief Reads one object.
    boost::asio::awaitable<store_get_result> get(std::string key);
    /// @brief Lists the objects whose keys begin with the prefix.
    boost::asio::awaitable<store_list_result> list(std::string prefix);
    /// @brief Waits for events after a revision on keys that begin with the prefix (long poll).
    /// @param wait Time after which the store responds even without events.
    boost::asio::awaitable<store_list_result> watch(std::string prefix, revision_id after, time_ms wait);
    /// @brief Reads the platform's list of live and leaving VMs, which may be out of date.
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
    boost::asio::awaitable<std::optional<store_write_result>> resolve_write(const write_request& request);
    boost::asio::awaitable<std::optional<store_write_result>> resolve_deletion(const write_request& request);
    boost::asio::awaitable<store_list_result> fetch_objects(std::string target, std::string_view member,
                                                            time_ms timeout);

    boost::asio::any_io_executor executor_;
    http_client client_;
    store_client_options options_;
    incarnation_id incarnation_;
    std::uint64_t sequence_ = 0;
};

} // namespace lacewing
