#pragma once

#include "platform.h"

#include <cstdint>
#include <memory>
#include <string>
#include <vector>

namespace review {

/// @brief Exit statuses of a case.
enum verdict : int { rule_held = 0, rule_broken = 1, not_run = 2 };

/// @brief Whether the case runs with its disruption; TROUBLE=0 in the environment leaves it out.
bool disrupted();

/// @brief Site of the users' pages whose bounds a case takes.
enum class site : std::uint8_t { kvmau_dues, kvmau_dues_large };

/// @brief A small deployment with the bounds of a site: a store, machines and one config.
class case_setup {
public:
    /// @param record_path Path of record.txt.
    explicit case_setup(const std::string& record_path, site bounds_of = site::kvmau_dues);
    ~case_setup() = default;
    case_setup(const case_setup&) = delete;
    case_setup& operator=(const case_setup&) = delete;
    case_setup(case_setup&&) = delete;
    case_setup& operator=(case_setup&&) = delete;

    /// @brief Adds a machine and starts its process.
    machine& add_machine(const std::string& zone);
    /// @brief Adds an upstream that takes work_ms for each request.
    upstream& add_upstream(const std::string& id, const std::string& service, const std::string& zone,
                           upstream::behaviour decide, const std::string& version = "v1");
    /// @brief Waits until all machines are ready and have found each other.
    bool wait_ready();
    /// @brief Records the verdict, ends all processes that the case has started, and exits.
    [[noreturn]] void finish(bool held);
    /// @brief Ends all processes, because the case could not run, and exits.
    [[noreturn]] void give_up(const std::string& reason);

    static constexpr const char* host = "hulo84.example";
    static constexpr const char* key = "s989anu6wsjnbanfqasn";

    recorder record;
    store platform;
    std::vector<std::unique_ptr<machine>> machines;
    std::vector<std::unique_ptr<upstream>> upstreams;

private:
    [[noreturn]] void exit_with(verdict result);

    deployment site_;
    std::string folder_;
};

} // namespace review
