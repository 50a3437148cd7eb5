#include "daemon/lookup_answer.h"

#include "coordination/at_most_once_registry.h"
#include "protocol/caller_http.h"
#include "state/error_kind.h"
#include "transport/monotonic_clock.h"

#include <fmt/format.h>

#include <iterator>

namespace lacewing {

std::string make_lookup_body(const entry_view* view, std::string_view target, std::string_view caller) {
    if (view == nullptr || view->vms.empty())
        throw error(error_kind::not_configured, "no entry VM is known yet");
    const auto client = query_value(target, "client");
    const auto address = parse_address(client ? std::string_view(*client) : caller);
    if (!address) throw error(error_kind::bad_request, "the parameter 'client' is not an IP address");

    const auto site = view->blocks ? view->blocks->find(*address) : std::nullopt;
    const auto selection = view->selector->select(site, *address);
    const auto issued = unix_seconds_now();
    std::string body;
    body.reserve(512);
    // No value needs JSON escaping: addresses and id prefixes have a fixed character set, and zone names are
    // checked when the configuration is accepted.
    fmt::format_to(std::back_inserter(body), R"({{"revision":{},"lifetime_ms":{},"vms":[)",
                   view->revision.value, selection.lifetime.count);
    for (std::uint32_t i = 0; i < selection.count; ++i) {
        const auto& vm = view->vms[selection.vms[i]];
        fmt::format_to(std::back_inserter(body), R"({}{{"address":"{}","zone":"{}","id_prefix":"{}"}})",
                       i == 0 ? "" : ",", vm.caller_address, vm.zone.value,
                       make_id_prefix(vm.incarnation, issued));
    }
    body += "]}\n";
    return body;
}

} // namespace lacewing
