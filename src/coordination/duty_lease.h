#pragma once

#include "coordination/usage_windows.h"
#include "state/time_ms.h"

#include <algorithm>
#include <cstddef>
#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <utility>
#include <vector>

namespace lacewing {

/// @brief Progress of the duty, stored with its lease, so that it is bound to the same conditional writes.
struct duty_progress {
    /// First window whose report is not known to be accepted.
    std::int64_t next_window = 0;
    /// Counts that are final, by window from next_window on. A window is reported with these and no others.
    std::map<std::int64_t, usage_counts> fixed;

    /// @brief First window without final counts.
    [[nodiscard]] std::int64_t first_unfixed() const {
        return next_window + static_cast<std::int64_t>(fixed.size());
    }
};

/// @brief Stored lease of a duty.
struct duty_record {
    std::string holder;
    /// Process of the holder.
    std::uint64_t incarnation = 0;
    std::uint64_t token = 0;
    /// Changes with every renewal.
    std::uint64_t renewals = 0;
    /// The holder has given the duty up.
    bool released = false;
    /// VMs that held it before, the last one first.
    std::vector<std::string> previous;
    duty_progress progress;
};

/// @brief Decides who holds a duty: at most one VM at a time, each under a higher fencing token than all
/// before.
///
/// The lease is one object in the store that changes only by writes that name its last revision. The holder
/// renews it and stops acting before any other VM may take it: the validity counts from the moment at which
/// the renewal was sent, while another VM waits for the whole term from the moment at which it has read the
/// revision, and for a margin. No clocks are compared. All times are of a clock that also counts the time
/// spent suspended.
class duty_lease {
public:
    /// Validity that must be left to begin a call under the lease.
    static constexpr time_ms act_margin{400};
    /// Time beyond the term after which an unchanged lease may be taken.
    static constexpr time_ms takeover_margin{500};
    /// Former holders that are remembered.
    static constexpr std::size_t max_previous = 4;
    /// Bits of a token below the era of the store.
    static constexpr unsigned era_shift = 40;

    /// @brief Next store call.
    struct action {
        enum class call : std::uint8_t { none, read, create, replace };
        call kind = call::none;
        duty_record record;
        /// Revision that a replacement expects.
        std::uint64_t revision = 0;
    };

    /// @param vm Name of this VM.
    /// @param incarnation Number of this process.
    /// @param term Time after which an unchanged lease may be taken.
    duty_lease(std::string vm, std::uint64_t incarnation, time_ms term)
        : vm_(std::move(vm)), incarnation_(incarnation), term_(term) {}

    /// @brief Chooses the next store call; there is never more than one at a time.
    /// @param candidate This VM should take the duty if nobody holds it.
    /// @param progress Progress to store with the next write, if this VM holds the duty; for a lease that
    /// does not exist yet, its first progress.
    /// @param urgent Write now instead of at the next renewal.
    action next(time_ms now, bool candidate, const duty_progress& progress, bool urgent);
    /// @brief The store has answered a read.
    /// @param record Nothing when there is no lease yet.
    void on_read(time_ms now, std::optional<duty_record> record, std::uint64_t revision);
    /// @brief The store has accepted the write of the last action.
    void on_written(time_ms now, std::uint64_t revision);
    /// @brief The store has refused the write of the last action, as the lease is at another revision.
    void on_conflict(time_ms now);
    /// @brief The call of the last action got no answer, so it may have taken effect or do so later.
    void on_no_answer(time_ms now);
    /// @brief Gives the duty up with the next write; this VM does not act any more.
    void release();
    /// @brief Era of the store; tokens of a later era are higher than all of an earlier one.
    void on_era(std::uint64_t era) { era_ = std::max(era_, era); }
    /// @brief Token that another VM has named, so that this one takes a higher one in any case.
    void on_token(std::uint64_t token) { highest_token_ = std::max(highest_token_, token); }

    /// @brief Whether this VM holds the duty, although it may not be allowed to act for the moment.
    [[nodiscard]] bool holds() const { return holding_; }
    /// @brief Whether a call under the lease may be written now.
    [[nodiscard]] bool may_act(time_ms now) const {
        return holding_ && !releasing_ && now + act_margin < valid_until_;
    }
    [[nodiscard]] time_ms valid_until() const { return valid_until_; }
    /// @brief When this VM began to hold the duty.
    [[nodiscard]] time_ms held_since() const { return held_since_; }
    [[nodiscard]] std::uint64_t token() const { return stored_ ? stored_->token : 0; }
    /// @brief Lease as last confirmed by the store.
    [[nodiscard]] const std::optional<duty_record>& stored() const { return stored_; }

private:
    [[nodiscard]] bool own(const duty_record& record) const;
    [[nodiscard]] bool may_take(time_ms now) const;
    [[nodiscard]] duty_record taken_record() const;
    void set_holding(time_ms now, bool holding);

    std::string vm_;
    std::uint64_t incarnation_;
    time_ms term_;
    std::optional<duty_record> stored_;
    std::uint64_t revision_ = 0;
    // The lease is known to be absent.
    bool absent_ = false;
    // The known revision was first read then; it may be taken after the term without a change.
    time_ms unchanged_since_{0};
    bool must_read_ = true;
    // This VM reads the lease until it has taken it or seen somebody else renew it.
    bool watching_ = false;
    bool holding_ = false;
    bool releasing_ = false;
    bool ever_held_ = false;
    time_ms valid_until_{0};
    time_ms held_since_{0};
    time_ms next_call_{0};
    action last_;
    time_ms last_sent_{0};
    bool in_flight_ = false;
    std::uint64_t highest_token_ = 0;
    std::uint64_t era_ = 0;
};

} // namespace lacewing
