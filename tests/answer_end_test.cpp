#include "protocol/answer_end.h"

#include <doctest/doctest.h>

#include <array>

using namespace lacewing;

// Guards against MIXED (issue 46): an answer that ends early looks complete.
TEST_CASE("answer end: a part of an answer counts as complete, or a complete one as a part") {
    struct row {
        answer_delimiter delimiter;
        answer_end end;
        bool complete_when_written;
        bool complete_when_unfinished;
    };
    using enum answer_delimiter;
    using enum answer_end;
    constexpr std::array<row, 12> rows{{{length, delimiter_read, true, true},
                                        {length, closed, false, false},
                                        {length, reset, false, false},
                                        {length, timed_out, false, false},
                                        {chunks, delimiter_read, true, true},
                                        {chunks, closed, false, false},
                                        {chunks, reset, false, false},
                                        {chunks, timed_out, false, false},
                                        {connection_end, delimiter_read, false, false},
                                        {connection_end, closed, true, false},
                                        {connection_end, reset, false, false},
                                        {connection_end, timed_out, false, false}}};
    for (const auto& item : rows) {
        CAPTURE(static_cast<int>(item.delimiter));
        CAPTURE(static_cast<int>(item.end));
        CHECK(is_complete_answer(item.delimiter, item.end, request_progress::written) ==
              item.complete_when_written);
        CHECK(is_complete_answer(item.delimiter, item.end, request_progress::unfinished) ==
              item.complete_when_unfinished);
    }
}

TEST_CASE("answer end: a status that is none counts as an answer") {
    for (const unsigned status : {0U, 1U, 99U, 600U, 999U, 1'000U})
        CHECK(kind_of_status(status) == status_kind::invalid);
    for (const unsigned status : {100U, 103U, 199U})
        CHECK(kind_of_status(status) == status_kind::interim);
    for (const unsigned status : {200U, 204U, 304U, 404U, 503U, 599U})
        CHECK(kind_of_status(status) == status_kind::final);
}
