#include "coordination/send_ledger.h"

#include <doctest/doctest.h>

using namespace lacewing;

// Guards against REFUSED (issue 39): "not run" is promised although one of several sends is not accounted
// for.
TEST_CASE("send ledger: a request with an unresolved send counts as not run") {
    send_ledger sends;
    CHECK_FALSE(sends.may_have_run());
    sends.on_send();
    CHECK(sends.may_have_run());
    sends.on_unsent();
    CHECK_FALSE(sends.may_have_run());
    sends.on_send();
    sends.on_stated_not_run();
    CHECK_FALSE(sends.may_have_run());
    sends.on_send();
    sends.on_send();
    sends.on_stated_not_run();
    CHECK(sends.may_have_run());
    CHECK(sends.stated_not_run() == 2);
}
