#include "state/settings.h"

#include "state/yaml_reader.h"

#include <fmt/format.h>
#include <set>
#include <yaml-cpp/yaml.h>

namespace lacewing {

namespace {

bool read_serve(const yaml_reader& item, std::string_view field, bool fallback) {
    if (!item.has(field)) return fallback;
    const auto value = item.text(field);
    if (value != "serve" && value != "refuse") {
        item.fail(field, fmt::format("'{}' is neither serve nor refuse", value));
    }
    return value == "serve";
}

key_policy_settings read_key_policy(const yaml_reader& item) {
    item.allow({"on_store_outage", "outage_bound_s", "on_partition", "partition_bound_s"});
    const key_policy_settings standard;
    key_policy_settings made;
    made.serve_on_store_outage = read_serve(item, "on_store_outage", standard.serve_on_store_outage);
    made.outage_bound = item.duration_or("outage_bound_s", duration_unit::seconds, standard.outage_bound);
    made.serve_on_partition = read_serve(item, "on_partition", standard.serve_on_partition);
    made.partition_bound =
        item.duration_or("partition_bound_s", duration_unit::seconds, standard.partition_bound);
    if (made.serve_on_partition && made.partition_bound.count == 0) {
        item.fail("partition_bound_s", "serving during a partition needs a bound above 0");
    }
    return made;
}

limit_settings read_limits(const yaml_reader& item) {
    item.allow({"header_bytes", "header_timeout_ms", "body_bytes", "queue_length", "caller_connections"});
    const limit_settings standard;
    // A request line with a key and a request id does not fit into less.
    constexpr std::int64_t least_header_bytes = 512;
    limit_settings made;
    made.header_bytes = item.integer_or("header_bytes", least_header_bytes, standard.header_bytes);
    made.header_timeout =
        item.duration_or("header_timeout_ms", duration_unit::milliseconds, standard.header_timeout);
    if (made.header_timeout.count == 0) item.fail("header_timeout_ms", "must be above 0");
    made.body_bytes = item.integer_or("body_bytes", 0, standard.body_bytes);
    made.queue_length = item.integer_or("queue_length", 0, standard.queue_length);
    made.caller_connections = item.integer_or("caller_connections", 1, standard.caller_connections);
    return made;
}

} // namespace

process_settings parse_process_settings(std::string_view text, std::string_view file) {
    const yaml_reader root(text, file);
    root.allow({"vm", "zone", "caller_listen", "peer_listen", "operator_listen", "store", "seeds",
                "key_policy", "limits"});
    process_settings made;
    made.vm = {root.name("vm")};
    made.zone = {root.name("zone")};
    made.caller_listen = root.address("caller_listen");
    made.peer_listen = root.address("peer_listen");
    made.operator_listen = root.address("operator_listen");
    made.store = root.address("store");
    std::set<std::string> used;
    for (const auto* field : {"caller_listen", "peer_listen", "operator_listen"}) {
        if (!used.insert(root.address(field)).second) root.fail(field, "duplicate address");
    }
    made.seeds = root.texts("seeds");
    for (const auto& seed : made.seeds) {
        if (!is_socket_address(seed)) root.fail("seeds", fmt::format("'{}' is not an address ip:port", seed));
    }
    made.key_policy = read_key_policy(root.map("key_policy"));
    made.limits = read_limits(root.map("limits"));
    return made;
}

bool is_process_settings(std::string_view text) {
    try {
        const auto root = YAML::Load(std::string(text));
        return root.IsMap() && (root["vm"] || root["caller_listen"] || root["peer_listen"]);
    } catch (const YAML::Exception&) {
        return false;
    }
}

} // namespace lacewing
