#pragma once

#include <sys/types.h>

#include <cstdint>
#include <filesystem>
#include <memory>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace lacewing::bench {

/// @brief Child process of an experiment. It is killed when the object is destroyed, and also when the
/// experiment is interrupted after kill_children_on_signal().
class child_process {
public:
    /// @param program Name of an executable in the directory of this one.
    /// @param log File for standard output and standard error.
    /// @throws std::runtime_error when the program cannot be started or too many processes run.
    child_process(const std::string& program, const std::vector<std::string>& arguments,
                  const std::filesystem::path& log);
    ~child_process();
    child_process(child_process&& other) noexcept;
    child_process& operator=(child_process&&) = delete;
    child_process(const child_process&) = delete;
    child_process& operator=(const child_process&) = delete;

    /// @brief CPU time used so far by all threads, in milliseconds.
    /// @throws std::runtime_error when the process no longer exists.
    [[nodiscard]] double cpu_ms() const;
    /// @brief A memory field of /proc/PID/status in bytes, such as "VmRSS"; 0 when it is missing.
    [[nodiscard]] double memory_bytes(std::string_view field) const;

private:
    pid_t pid_ = 0;
};

/// @brief Blocking HTTP client for one address with one keep-alive connection.
class blocking_client {
public:
    struct answer {
        unsigned status = 0;
        std::string body;
    };

    /// @param address "ip:port".
    explicit blocking_client(const std::string& address);
    ~blocking_client();
    blocking_client(blocking_client&&) noexcept;
    blocking_client& operator=(blocking_client&&) = delete;
    blocking_client(const blocking_client&) = delete;
    blocking_client& operator=(const blocking_client&) = delete;

    /// @param if_match Value of the If-Match header.
    /// @return Nothing when the call fails.
    std::optional<answer> call(std::string_view method, std::string_view target, std::string_view body = {},
                               std::optional<std::uint64_t> if_match = {});

private:
    struct connection;
    std::unique_ptr<connection> connection_;
};

/// @brief Installs handlers for SIGINT and SIGTERM that kill all running child processes and exit.
void kill_children_on_signal();

} // namespace lacewing::bench
