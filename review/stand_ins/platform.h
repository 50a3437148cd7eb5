#pragma once

#include "net.h"

#include <sys/types.h>

#include <atomic>
#include <condition_variable>
#include <cstdint>
#include <fstream>
#include <functional>
#include <map>
#include <memory>
#include <mutex>
#include <string>
#include <vector>

namespace review {

/// @brief Writes record.txt: what was sent, answered and run, and when.
class recorder {
public:
    explicit recorder(const std::string& path) : out_(path) {}
    void line(const std::string& text);

private:
    std::mutex mutex_;
    std::ofstream out_;
};

/// @brief The platform's metadata store, as the users' pages describe it.
class store {
public:
    explicit store(const std::string& ip);
    [[nodiscard]] const std::string& address() const { return listener_->address(); }
    void put(const std::string& kind, const std::string& name, const std::string& spec);
    void remove(const std::string& kind, const std::string& name);
    /// @brief Text of the status of an object; empty when there is none.
    [[nodiscard]] std::string status(const std::string& kind, const std::string& name);
    /// @brief While set, the store answers every call, also those that wait, with 503.
    std::atomic<bool> down{false};

private:
    struct object {
        std::uint64_t revision = 0;
        std::uint64_t created = 0;
        std::string spec = "{}";
        std::string status;
    };
    struct event {
        std::uint64_t revision = 0;
        std::string text;
    };

    void serve(connection& peer);
    std::string answer(const http_message& request);
    std::string list(const std::string& kind);
    std::string watch(const std::string& kind, std::uint64_t after, std::int64_t wait_ms);
    std::string write(const std::string& method, const std::string& path, const std::string& body);
    static std::string text_of(const std::string& name, const object& item);
    void record_change(const std::string& kind, const std::string& name, bool deleted);

    std::mutex mutex_;
    std::condition_variable changed_;
    std::uint64_t revision_ = 100;
    std::map<std::string, std::map<std::string, object>> objects_;
    std::map<std::string, std::vector<event>> events_;
    std::unique_ptr<listener> listener_;
};

/// @brief A request that an upstream has begun to run.
struct execution {
    std::string upstream;
    std::string attempt;
    std::string method;
    std::string target;
    std::string body;
    std::int64_t begun_ms = 0;
};

/// @brief How an upstream answers a request that it has run.
struct upstream_answer {
    int status = 200;
    std::int64_t work_ms = 5;
    /// Further header lines, each with its line end.
    std::string headers;
};

/// @brief An upstream with as many slots as it gets requests. It runs each request once, answers with the
/// whole body and keeps the connection.
class upstream {
public:
    using behaviour = std::function<upstream_answer(const http_message&)>;
    /// @param decide Called when a request begins to run.
    upstream(store& registry, recorder& record, const std::string& ip, std::string id, std::string service,
             std::string zone, behaviour decide, std::string version = "v1");
    [[nodiscard]] std::vector<execution> executions() const;
    /// @brief Reports `draining`, and removes the entry after a time in which it still serves.
    void leave(std::int64_t serve_ms);

private:
    void serve(connection& peer);
    void send_heartbeats();
    void register_state();

    store& registry_;
    recorder& record_;
    std::string id_;
    std::string service_;
    std::string zone_;
    std::string version_;
    std::int64_t born_;
    std::int64_t sequence_ = 0;
    std::string state_ = "ready";
    behaviour decide_;
    mutable std::mutex mutex_;
    std::vector<execution> executions_;
    std::unique_ptr<listener> listener_;
};

/// @brief Values of the settings of a small deployment.
struct deployment {
    std::vector<std::pair<std::string, std::string>> zone_regions;
    std::vector<std::string> bounds;
};

/// @brief A machine that runs lacewingd.
class machine {
public:
    machine(const deployment& site, const std::string& store_address, const std::string& ip, std::string name,
            std::string zone, const std::vector<std::string>& seeds, std::string folder);
    void start(bool first_start);
    /// @brief Sends a signal to the process.
    void signal(int number) const;
    /// @brief Whether the process has ended; reaps it.
    bool ended();
    [[nodiscard]] bool ready() const;
    /// @brief Resident memory of the process; 0 when there is none.
    [[nodiscard]] std::int64_t memory_kb() const;
    [[nodiscard]] std::string frontend() const { return ip_ + ":" + std::to_string(ports_[0]); }
    [[nodiscard]] std::string readiness() const { return ip_ + ":" + std::to_string(ports_[1]); }
    [[nodiscard]] std::string control() const { return ip_ + ":" + std::to_string(ports_[2]); }
    [[nodiscard]] std::string directory() const { return ip_ + ":" + std::to_string(ports_[3]); }

private:
    deployment site_;
    std::string store_address_;
    std::string ip_;
    std::string name_;
    std::string zone_;
    std::vector<std::string> seeds_;
    std::string folder_;
    std::vector<int> ports_;
    pid_t process_ = -1;
};

/// @brief Waits until a condition holds.
/// @return Whether it held within the time.
bool wait_until(std::int64_t timeout_ms, const std::function<bool()>& condition);

/// @brief Loopback address that depends on the id of this process, so that several cases can run at once.
std::string loopback_ip(int index);

/// @brief Text of a request as clients of the users' pages send it.
std::string client_request(const std::string& method, const std::string& target, const std::string& host,
                           const std::string& attempt, std::int64_t deadline_ms, const std::string& key,
                           const std::string& body);

} // namespace review
