#pragma once

#include "coordination/budget_manager.h"
#include "coordination/router.h"
#include "state/ids.h"
#include "state/time_ms.h"

#include <cstdint>
#include <map>
#include <optional>
#include <vector>

namespace lacewing {

/// @brief Maximum duration of a slot loan; equal to the longest deadline of a request.
inline constexpr time_ms max_slot_loan{60'000};

/// @brief Lends endpoint slots of this VM to other VMs of the zone, each for one request.
///
/// The borrower ends its request when the term has passed since it sent its slot_request. The lender counts
/// the same term from its later grant and adds the allowance for clock drift, so it reuses a slot only after
/// the borrower has stopped using it.
class slot_lender {
public:
    /// @brief Records a loan.
    /// @param ticket Slot to lend, occupied through router::choose().
    /// @param term How long the borrower may use the slot.
    /// @return Id of the loan, never 0.
    std::uint64_t lend(time_ms now, incarnation_id borrower, const route_ticket& ticket, time_ms term);

    /// @brief Ends a loan that the borrower returns.
    /// @return The lent slot's ticket; nothing when the loan has expired, was returned before or belongs to
    /// another borrower.
    std::optional<route_ticket> end_loan(incarnation_id borrower, std::uint64_t loan_id);

    /// @brief Ends the loans whose term, including the drift allowance, has passed, and returns their
    /// tickets.
    std::vector<route_ticket> expire(time_ms now);

    /// @brief Number of running loans.
    [[nodiscard]] std::size_t size() const { return loans_.size(); }

private:
    struct loan {
        incarnation_id borrower;
        route_ticket ticket;
        time_ms expires_at;
    };

    std::uint64_t last_loan_id_ = 0;
    std::map<std::uint64_t, loan> loans_;
};

} // namespace lacewing
