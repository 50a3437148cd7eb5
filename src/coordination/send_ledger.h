#pragma once

namespace lacewing {

/// @brief Keeps account of the sends of one request to endpoints, and so decides whether its caller may be
/// promised that it was not run. A send may have run the request until the opposite is proved.
class send_ledger {
public:
    /// @brief A send begins.
    void on_send() { ++unresolved_; }
    /// @brief The last send has failed before a byte of it was written.
    void on_unsent() { --unresolved_; }
    /// @brief The endpoint has stated of the last send that it did not run the request.
    void on_stated_not_run() {
        --unresolved_;
        ++stated_not_run_;
    }

    /// @brief Whether an endpoint may have run the request, or may still run it.
    [[nodiscard]] bool may_have_run() const { return unresolved_ > 0; }
    /// @brief Number of sends of which the endpoint stated that it did not run the request.
    [[nodiscard]] int stated_not_run() const { return stated_not_run_; }

private:
    int unresolved_ = 0;
    int stated_not_run_ = 0;
};

} // namespace lacewing
