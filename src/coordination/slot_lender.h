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

/// @brief Longest loan of an endpoint slot; the longest deadline of a request (design 4.4).
inline constexpr time_ms max_slot_loan{60'000};

/// @brief Slots of this VM that other VMs of the zone use for one request each.
///
/// The borrower ends its request when the term, counted from the sending of its slot_request, is over. The
/// lender counts the same term from its grant, with the drift allowance, so the slot is free before it is
/// used again.
class slot_lender {
public:
    /// @brief Records a loan.
    /// @param ticket Slot that the router has occupied.
    /// @param term Longest use by the borrower.
    /// @return Number of the loan, never 0.
    std::uint64_t lend(time_ms now, incarnation_id borrower, const route_ticket& ticket, time_ms term);

    /// @brief Ends a loan.
    /// @return Its ticket; nothing when it has expired, was returned before or belongs to another borrower.
    std::optional<route_ticket> end_loan(incarnation_id borrower, std::uint64_t loan);

    /// @brief Ends the loans whose term is over.
    std::vector<route_ticket> expire(time_ms now);

    [[nodiscard]] std::size_t size() const { return loans_.size(); }

private:
    struct loan {
        incarnation_id borrower;
        route_ticket ticket;
        time_ms expires;
    };

    std::uint64_t last_ = 0;
    std::map<std::uint64_t, loan> loans_;
};

} // namespace lacewing
