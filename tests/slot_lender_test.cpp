#include "coordination/slot_lender.h"

#include <doctest/doctest.h>

using namespace lacewing;
using namespace lacewing::literals;

namespace {

constexpr incarnation_id borrower{7};

route_ticket ticket_for(std::uint32_t endpoint) {
    route_ticket ticket;
    ticket.endpoint = endpoint;
    return ticket;
}

} // namespace

TEST_CASE("slot loan: a slot is used again while a slow clock of the borrower still counts the term") {
    slot_lender lender;
    lender.lend(0_ms, borrower, ticket_for(1), 60_s);
    // Two clocks that are each off by 1 % differ by 2.02 %.
    CHECK(lender.expire(61'212_ms).empty());
    CHECK(lender.expire(61'400_ms).size() == 1);
    CHECK(lender.size() == 0);
}

TEST_CASE("slot loan: a return that is doubled, late or from another borrower frees a slot twice") {
    slot_lender lender;
    const auto loan = lender.lend(0_ms, borrower, ticket_for(1), 1_s);
    CHECK_FALSE(lender.end_loan(incarnation_id{8}, loan));
    const auto ticket = lender.end_loan(borrower, loan);
    REQUIRE(ticket);
    CHECK(ticket->endpoint == 1);
    CHECK_FALSE(lender.end_loan(borrower, loan));
    const auto second = lender.lend(0_ms, borrower, ticket_for(2), 1_s);
    CHECK(second != loan);
    CHECK(lender.expire(2_s).size() == 1);
    CHECK_FALSE(lender.end_loan(borrower, second));
}
