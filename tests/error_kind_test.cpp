#include "state/error_kind.h"
#include "state/ids.h"

#include <doctest/doctest.h>

using namespace lacewing;

TEST_CASE("only errors with the effect not_run may be retried on every route") {
    for (const auto& row : all_error_answers()) {
        if (row.effect != request_effect::not_run) {
            CHECK(row.retry != retry_rule::always);
        }
    }
}

TEST_CASE("an incarnation round-trips through its text form and other text is rejected") {
    const incarnation_id id{0x00ab'cdef'0123'4567};
    CHECK(incarnation_from_hex(to_hex(id)) == id);
    CHECK_THROWS_AS(incarnation_from_hex("00abcdef"), error);
    CHECK_THROWS_AS(incarnation_from_hex("00abcdef0123456g"), error);
}
