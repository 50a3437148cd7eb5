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

/// @brief Process that an experiment has started. It is killed by its id when the object is destroyed, and
/// also when the experiment is interrupted.
class child_process {
public:
    /// @param program Name of a program in the folder of this one.
    /// @param log File for standard output and standard error.
    /// @throws std::runtime_error when the program cannot be started.
    child_process(const std::string& program, const std::vector<std::string>& arguments,
                  const std::filesystem::path& log);
    ~child_process();
    child_process(child_process&& other) noexcept;
    child_process& operator=(child_process&&) = delete;
    child_process(const child_process&) = delete;
    child_process& operator=(const child_process&) = delete;

    /// @brief Processor time used so far by all threads, in milliseconds.
    [[nodiscard]] double cpu_ms() const;
    /// @brief A value of /proc/PID/status in bytes, e.g. "VmRSS".
    [[nodiscard]] double memory_bytes(std::string_view field) const;

private:
    pid_t pid_ = 0;
};

/// @brief Blocking HTTP client of one address with one kept-alive connection.
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

    /// @return Nothing when the address does not answer.
    std::optional<answer> call(std::string_view method, std::string_view target, std::string_view body = {},
                               std::optional<std::uint64_t> if_match = {});

private:
    struct connection;
    std::unique_ptr<connection> connection_;
};

/// @brief Ends all processes that are still running when SIGINT or SIGTERM arrives.
void end_children_on_signal();

} // namespace lacewing::bench
