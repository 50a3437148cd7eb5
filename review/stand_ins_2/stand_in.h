// Stand-ins for the users' platform: store, upstreams, clients and the machines of a small deployment.
// They speak what PROTOCOL.md says, on loopback addresses, with blocking sockets and a thread per connection.
#pragma once

#include <json/json.h>

#include <sys/types.h>

#include <atomic>
#include <chrono>
#include <condition_variable>
#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <mutex>
#include <optional>
#include <sstream>
#include <string>
#include <thread>
#include <vector>

namespace stand_in {

using clock_type = std::chrono::steady_clock;

/// @brief Milliseconds since the start of the program.
std::int64_t now_ms();
void sleep_ms(std::int64_t ms);
/// @brief Random loopback network of this run, "127.A.B."; hosts 1 to 254 are free.
const std::string& network();
/// @brief Writes one line, with the time, to record.txt in the folder of the case.
void record_line(const std::string& line);
/// @brief Writes values one after the other as one line of the record.
template <class... Parts>
void record(const Parts&... parts) {
    std::ostringstream out;
    (out << ... << parts);
    record_line(out.str());
}
/// @brief Whether the disruption is to happen (TROUBLE is not 0).
bool trouble();

/// @brief A TCP connection with timeouts; closes when destroyed.
class connection {
public:
    explicit connection(int socket = -1) : socket_(socket) {}
    ~connection();
    connection(connection&& other) noexcept;
    connection& operator=(connection&& other) noexcept;
    connection(const connection&) = delete;
    connection& operator=(const connection&) = delete;

    static connection open(const std::string& address, std::int64_t timeout_ms);
    [[nodiscard]] bool valid() const { return socket_ >= 0; }
    [[nodiscard]] int socket() const { return socket_; }
    bool write(std::string_view text);
    /// @brief Reads what has arrived.
    /// @return Number of bytes; 0 at the end of the stream, -1 for a reset, -2 when the time is over.
    int read(std::string& into, std::int64_t until_ms);
    void close();
    /// @brief Closes with a TCP reset.
    void reset();

private:
    int socket_ = -1;
};

/// @brief A request or an answer.
struct message {
    std::string first_line;
    /// Names in lower case.
    std::multimap<std::string, std::string> headers;
    std::string body;
    [[nodiscard]] std::string header(const std::string& name) const;
    [[nodiscard]] std::string method() const;
    [[nodiscard]] std::string target() const;
    [[nodiscard]] int status() const;
};

enum class read_end { complete, closed, reset, timed_out, malformed };
/// @brief Reads one message. `rest` keeps bytes beyond it.
read_end read_message(connection& from, std::string& rest, message& into, std::int64_t until_ms,
                      bool is_answer, bool head_only = false);

/// @brief Listens on an address and serves each connection on a thread of its own.
class listener {
public:
    using handler = std::function<void(connection&)>;
    listener(std::string address, handler on_connection);
    ~listener();
    listener(const listener&) = delete;
    listener& operator=(const listener&) = delete;
    [[nodiscard]] const std::string& address() const { return address_; }

private:
    std::string address_;
    int socket_ = -1;
    handler handler_;
    std::thread thread_;
};

/// @brief The platform's store of objects.
class store {
public:
    explicit store(const std::string& address);
    [[nodiscard]] const std::string& address() const { return listener_->address(); }
    void put(const std::string& kind, const std::string& name, const Json::Value& spec);
    void remove(const std::string& kind, const std::string& name);
    [[nodiscard]] Json::Value read(const std::string& kind, const std::string& name);
    [[nodiscard]] std::uint64_t revision();
    /// Called with each call; returns an answer to give in place of the store's own, or nothing.
    std::function<std::optional<std::pair<int, std::string>>(const message&, const std::string& peer)>
        intercept;

private:
    struct event {
        std::uint64_t revision;
        Json::Value object;
        bool deleted;
    };
    void serve(connection& from);
    std::pair<int, std::string> answer(const message& request);
    void change(const std::string& kind, const std::string& name, Json::Value object, bool deleted);

    std::mutex mutex_;
    std::condition_variable changed_;
    std::uint64_t revision_ = 10;
    std::map<std::string, std::map<std::string, Json::Value>> objects_;
    std::map<std::string, std::vector<event>> history_;
    std::unique_ptr<listener> listener_;
};

/// @brief One request at an upstream.
struct arrival {
    std::int64_t at = 0;
    std::string upstream;
    std::string id;
    std::string method;
    std::string target;
    std::string tenant;
    std::string deadline;
    std::string body;
    bool run = false;
};

/// @brief An upstream process: registers in the store and answers requests.
class upstream {
public:
    /// @param conduct Handles a request in place of the usual way; returns false for the usual one.
    using conduct = std::function<bool(upstream&, const message&, connection&, bool& keep)>;
    upstream(store& registry, std::string id, std::string service, std::string zone,
             const std::string& address, int work_ms, std::string version = "v1");
    ~upstream();
    upstream(const upstream&) = delete;
    upstream& operator=(const upstream&) = delete;
    void register_as(const std::string& state);
    /// @brief Writes the entry of an upstream, also of one that runs elsewhere.
    static void register_in(store& registry, const std::string& id, const std::string& service,
                            const std::string& zone, const std::string& address,
                            const std::string& version = "v1", const std::string& state = "ready");
    /// @brief Sends the usual answer to a request that has been run.
    static std::string usual_answer(const message& request, const std::string& extra_headers = {});
    [[nodiscard]] const std::string& id() const { return id_; }
    std::atomic<int> work_ms;
    std::atomic<bool> faulty{false};
    conduct on_request;

private:
    void serve(connection& from);
    store& store_;
    std::string id_;
    std::string service_;
    std::string zone_;
    std::string version_;
    std::unique_ptr<listener> listener_;
};

/// @brief All requests that have reached upstreams.
std::vector<arrival> arrivals();
void add_arrival(arrival made);

/// @brief One process of the system under test.
class machine {
public:
    machine(int number, const std::string& zone, const std::string& region, const store& platform,
            const std::vector<std::string>& seeds, const std::string& extra_bounds = {}, int memory_mb = 260,
            int descriptors = 4100);
    ~machine();
    machine(const machine&) = delete;
    machine& operator=(const machine&) = delete;
    /// @param first_start Whether the whole system starts for the first time.
    void start(bool first_start = true);
    void signal(int number) const;
    /// @brief Waits for the end of the process. @return Whether it has ended in time.
    bool wait_end(std::int64_t ms);
    void kill();
    [[nodiscard]] bool running();
    [[nodiscard]] bool ready() const;
    [[nodiscard]] std::string frontend() const { return ip_ + ":8686"; }
    [[nodiscard]] std::string directory() const { return ip_ + ":8684"; }
    [[nodiscard]] std::string control() const { return ip_ + ":8688"; }
    [[nodiscard]] std::string readiness() const { return ip_ + ":8680"; }
    [[nodiscard]] const std::string& name() const { return name_; }
    [[nodiscard]] pid_t id() const { return process_; }
    /// @brief A figure of /proc/ID/status in kB; 0 when there is none.
    [[nodiscard]] long status_kb(const std::string& field) const;
    static std::string control_address(int number);

private:
    std::string ip_;
    std::string name_;
    std::string settings_;
    std::string settings_text_;
    std::string log_;
    pid_t process_ = -1;
};

/// @brief How a client's request ended.
struct outcome {
    /// 0 when no answer has come.
    int status = 0;
    /// complete: a whole answer; otherwise how the connection ended.
    read_end end = read_end::timed_out;
    std::int64_t sent = 0;
    std::int64_t done = 0;
    message answer;
};

/// @brief Headers of a client's request.
std::string client_headers(const std::string& host, const std::string& attempt_id, int deadline_ms,
                           const std::string& key);
/// @brief Sends one request on a new connection and waits until its deadline for the answer.
outcome call(const std::string& address, const std::string& method, const std::string& target,
             const std::string& host, const std::string& attempt_id, int deadline_ms, const std::string& key,
             const std::string& body = {});
/// @brief Same on an open connection.
outcome call_on(connection& on, std::string& rest, const std::string& method, const std::string& target,
                const std::string& host, const std::string& attempt_id, int deadline_ms,
                const std::string& key, const std::string& body = {});

/// @brief A route of a config.
Json::Value make_route(const std::string& name, const std::string& host, const std::string& prefix,
                       const std::string& type, const std::string& service, int timeout_ms, int goal_ms,
                       int max_attempts);
Json::Value make_service(const std::string& name, int warmup_per_s = 10);
/// @brief A config with one tenant "cuka620" whose key is "key-1".
Json::Value make_config(int version, const std::vector<Json::Value>& routes,
                        const std::vector<Json::Value>& services);

bool wait_until(const std::function<bool()>& condition, std::int64_t ms);
std::string text_of(read_end end);

} // namespace stand_in
