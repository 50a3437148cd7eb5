#include "coordination/slot_lender.h"

namespace lacewing {

std::uint64_t slot_lender::lend(time_ms now, incarnation_id borrower, const route_ticket& ticket,
                                time_ms term) {
    loans_[++last_] = {borrower, ticket, now + with_clock_drift(term)};
    return last_;
}

std::optional<route_ticket> slot_lender::end_loan(incarnation_id borrower, std::uint64_t loan) {
    const auto found = loans_.find(loan);
    if (found == loans_.end() || found->second.borrower != borrower) return std::nullopt;
    const auto ticket = found->second.ticket;
    loans_.erase(found);
    return ticket;
}

std::vector<route_ticket> slot_lender::expire(time_ms now) {
    std::vector<route_ticket> ended;
    for (auto place = loans_.begin(); place != loans_.end();) {
        if (now < place->second.expires) {
            ++place;
            continue;
        }
        ended.push_back(place->second.ticket);
        place = loans_.erase(place);
    }
    return ended;
}

} // namespace lacewing
