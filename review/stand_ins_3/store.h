// Stand-in for the platform's store.
#pragma once

#include "net.h"

#include <json/value.h>

#include <condition_variable>
#include <cstdint>
#include <deque>
#include <functional>
#include <map>
#include <memory>
#include <mutex>
#include <string>

namespace review {

/// @brief Store of objects by kind and name, with lists, watches and conditional writes. It forgets the
/// events that are older than its history.
class object_store {
public:
    /// Rewrites the text of answers on the way to one machine.
    using text_filter = std::function<std::string(std::string)>;

    /// @brief Serves the store on a port of 127.0.0.1.
    void serve(int port, const text_filter& filter = {});

    /// @brief Creates or replaces an object, as the operator and the servers do.
    /// @param spec JSON text.
    void put(const std::string& kind, const std::string& name, const std::string& spec);
    void remove(const std::string& kind, const std::string& name);
    [[nodiscard]] Json::Value read(const std::string& kind, const std::string& name);
    /// @brief Keeps a copy of everything, from which restore() brings the store back.
    void keep_copy();
    /// @brief Puts the store back to its copy; the revision goes back and the era rises.
    void restore();
    /// @brief While it is away, the store answers nothing and closes what it gets.
    void set_away(bool away);
    /// @brief Told each write of the system with its path, body and status.
    std::function<void(const std::string& call, const std::string& body, int status)> on_write;

private:
    /// An object with its text.
    struct stored {
        Json::Value value;
        std::shared_ptr<const std::string> text;
    };
    struct event {
        std::uint64_t revision = 0;
        std::int64_t at = 0;
        std::shared_ptr<const std::string> text;
        bool deleted = false;
    };
    struct content {
        std::uint64_t revision = 100;
        std::map<std::string, std::map<std::string, stored>> objects;
        std::map<std::string, std::deque<event>> events;
        // Revision of the newest forgotten event, by kind.
        std::map<std::string, std::uint64_t> forgotten;
    };

    std::string answer(const http_message& request, const text_filter& filter);
    std::string list(const std::string& kind, const std::string& after) const;
    std::string watch(const std::string& kind, std::uint64_t after, std::int64_t wait_ms, int& status);
    std::string write(const http_message& request, const std::string& kind, const std::string& name,
                      bool of_status, const std::string& query_revision, int& status);
    void commit(const std::string& kind, const std::string& name, Json::Value object, bool deleted);

    std::mutex mutex_;
    std::condition_variable changed_;
    content content_;
    content copy_;
    std::uint64_t era_ = 1;
    bool away_ = false;
};

std::string to_text(const Json::Value& value);
Json::Value from_text(const std::string& text);

} // namespace review
