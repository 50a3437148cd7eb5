#include "coordination/slot_lender.h"

namespace lacewing {

std::uint64_t slot_lender::lend(time_ms now, incarnation_id borrower, const route_ticket& ticket,
                                time_ms term) {
    loans_[++last_loan_id_] = {borrower, ticket, now + with_clock_drift(term)};
    return last_loan_id_;
}

std::optional<route_ticket> slot_lender::end_loan(incarnation_id borrower, std::uint64_t loan_id) {
    const auto found = loans_.find(loan_id);
    if (found == loans_.end() || found->second.borrower != borrower) return std::nullopt;
    const auto ticket = found->second.ticket;
    loans_.erase(found);
    return ticket;
}

std::vector<route_ticket> slot_lender::expire(time_ms now) {
    std::vector<route_ticket> expired_tickets;
    for (auto it = loans_.begin(); it != loans_.end();) {
        if (now < it->second.expires_at) {
            ++it;
            continue;
        }
        expired_tickets.push_back(it->second.ticket);
        it = loans_.erase(it);
    }
    return expired_tickets;
}

} // namespace lacewing
