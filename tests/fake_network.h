#pragma once

#include "coordination/peer_message.h"

#include <functional>
#include <map>
#include <random>
#include <string>
#include <utility>
#include <vector>

namespace lacewing::test {

/// @brief Simulated network in virtual time with delay, loss, duplication, reordering and one-way cuts. A
/// random delay per message causes the reordering. Deterministic for a seed.
class fake_network {
public:
    struct faults {
        time_ms min_delay{1};
        time_ms max_delay{3};
        /// Share of messages that are lost or sent twice, per mille.
        unsigned loss_per_mille = 0;
        unsigned duplication_per_mille = 0;
    };
    /// @brief Tells whether messages from one address to another are cut.
    using cut_rule = std::function<bool(const std::string& from, const std::string& to)>;
    using receiver = std::function<void(const std::string& to, const peer_message& message)>;

    explicit fake_network(std::uint64_t seed) : random_(seed) {}

    faults active_faults;
    cut_rule cut;

    void send(const std::string& to, const peer_message& message, time_ms now) {
        if (chance(active_faults.loss_per_mille)) {
            return;
        }
        const int copies = chance(active_faults.duplication_per_mille) ? 2 : 1;
        for (int i = 0; i < copies; ++i) {
            const auto delay_range =
                static_cast<std::uint64_t>((active_faults.max_delay - active_faults.min_delay).count + 1);
            const auto delay =
                active_faults.min_delay + time_ms{static_cast<std::int64_t>(random_() % delay_range)};
            in_flight_.emplace(now + delay, std::pair(to, message));
        }
    }

    /// @brief Delivers the messages that are due; drops those that are cut at this time.
    void deliver(time_ms now, const receiver& receive) {
        while (!in_flight_.empty() && in_flight_.begin()->first <= now) {
            const auto [to, message] = std::move(in_flight_.begin()->second);
            in_flight_.erase(in_flight_.begin());
            if (!cut || !cut(message.from.address, to)) {
                receive(to, message);
            }
        }
    }

private:
    bool chance(unsigned per_mille) { return per_mille != 0 && random_() % 1000 < per_mille; }

    std::mt19937_64 random_;
    std::multimap<time_ms, std::pair<std::string, peer_message>> in_flight_;
};

} // namespace lacewing::test
