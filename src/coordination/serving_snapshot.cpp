#include "coordination/serving_snapshot.h"

#include "state/error_kind.h"
#include "state/json_text.h"

#include <json/json.h>

#include <algorithm>
#include <fmt/format.h>

namespace lacewing {

namespace {

constexpr std::string_view config_key = "config/current";
constexpr std::string_view drains_prefix = "drains/";
constexpr std::string_view moves_prefix = "moves/";
constexpr std::string_view blocks_prefix = "blocks/";

bool any_key_with_prefix(std::span<const std::string> keys, std::string_view prefix) {
    return std::any_of(keys.begin(), keys.end(),
                       [prefix](const auto& key) { return key.starts_with(prefix); });
}

// Parses the JSON value of an object.
Json::Value parse_object(const object_event& object) {
    std::string problem;
    auto value = read_json(*object.value, &problem);
    if (!value || !value->isObject())
        throw error(error_kind::bad_request, fmt::format("not a JSON object: {}", problem));
    return std::move(*value);
}

std::string string_or_empty(const Json::Value& value) {
    return value.isString() ? value.asString() : std::string();
}

// Whether a drain or version move is in force: one that is done stays in force, one that was taken back does
// not.
bool move_in_force(const Json::Value& move) {
    return string_or_empty(move["state"]) != "taken_back";
}

bool move_finished(const Json::Value& move) {
    const auto state = string_or_empty(move["state"]);
    return state == "done" || state == "taken_back";
}

} // namespace

bool snapshot_builder::update(const object_map& objects, std::span<const std::string> changed,
                              revision_id revision) {
    if (changed.empty() && snapshot_ && snapshot_->revision == revision) return false;
    const bool config_changed = std::find(changed.begin(), changed.end(), config_key) != changed.end();
    if (config_changed) {
        const auto found = objects.find(std::string(config_key));
        if (found != objects.end() && !found->second.deleted()) load_config(found->second);
    }
    if (!keys_ || any_key_with_prefix(changed, key_object_prefix)) {
        load_keys(objects, changed);
    }
    if (config_changed || any_key_with_prefix(changed, drains_prefix) ||
        any_key_with_prefix(changed, moves_prefix)) {
        load_moves(objects);
    }
    if (any_key_with_prefix(changed, blocks_prefix)) load_blocks(objects, revision);
    if (!config_) return false;
    snapshot_ =
        std::make_shared<serving_snapshot>(serving_snapshot{revision, config_, keys_, drained_, shares_});
    return true;
}

void snapshot_builder::load_config(const object_event& object) {
    try {
        config_ = std::make_shared<configuration>(parse_configuration(*object.value, object.key));
        config_revision_ = object.revision;
        rejected_.erase(object.key);
    } catch (const config_error& problem) {
        rejected_[object.key] = {object.key, object.revision, problem.what()};
    }
}

// Applies the changed key objects; a malformed one leaves the keys of its account unchanged.
void snapshot_builder::load_keys(const object_map& objects, std::span<const std::string> changed) {
    for (const auto& key : changed) {
        const auto found = objects.find(key);
        if (!key.starts_with(key_object_prefix) || found == objects.end()) continue;
        try {
            key_builder_.apply(found->second);
            rejected_.erase(key);
        } catch (const error& problem) {
            rejected_[key] = {key, found->second.revision, problem.what()};
        }
    }
    keys_ = key_builder_.build();
}

// Collects the drained endpoints and the shares of versions from all moves.
void snapshot_builder::load_moves(const object_map& objects) {
    if (!config_) return;
    drained_.clear();
    shares_.clear();
    move_in_progress_ = false;
    std::vector<std::pair<std::int64_t, version_share>> shares_by_time;
    for (const auto& [key, object] : objects) {
        const bool drain = key.starts_with(drains_prefix);
        if (object.deleted() || (!drain && !key.starts_with(moves_prefix))) continue;
        try {
            const auto value = parse_object(object);
            rejected_.erase(key);
            if (!move_in_force(value) && drain) continue;
            move_in_progress_ = move_in_progress_ || !move_finished(value);
            if (drain) {
                add_drained_endpoints(string_or_empty(value["target"]["kind"]),
                                      string_or_empty(value["target"]["name"]), drained_);
            } else {
                // The new version gets no requests until the driver has started a stage and written
                // share_ppm.
                const auto ppm = value["share_ppm"].isInt64() ? value["share_ppm"].asInt64() : 0;
                const auto requested_at =
                    value["requested_at"].isInt64() ? value["requested_at"].asInt64() : 0;
                shares_by_time.emplace_back(requested_at,
                                            version_share{route_name{string_or_empty(value["route"])},
                                                          string_or_empty(value["to"]),
                                                          move_in_force(value) ? ppm : 0});
            }
        } catch (const error& problem) {
            rejected_[key] = {key, object.revision, problem.what()};
        }
    }
    // Later entries must be newer, as version_share requires.
    std::stable_sort(shares_by_time.begin(), shares_by_time.end(),
                     [](const auto& a, const auto& b) { return a.first < b.first; });
    for (auto& [requested_at, share] : shares_by_time)
        shares_.push_back(std::move(share));
}

// Adds the endpoints of a drain target.
void snapshot_builder::add_drained_endpoints(std::string_view kind, std::string_view name,
                                             std::vector<endpoint_name>& out) const {
    for (const auto& route : config_->routes) {
        for (const auto& endpoint : route.endpoints) {
            const auto* zone = config_->find_zone(endpoint.zone.value);
            const bool matches_target = (kind == "endpoint" && endpoint.name.value == name) ||
                                        (kind == "zone" && endpoint.zone.value == name) ||
                                        (kind == "region" && zone != nullptr && zone->region.value == name);
            if (matches_target) out.push_back(endpoint.name);
        }
    }
}

void snapshot_builder::load_blocks(const object_map& objects, revision_id revision) {
    block_set set;
    for (auto chunk = objects.lower_bound(std::string(blocks_prefix));
         chunk != objects.end() && chunk->first.starts_with(blocks_prefix); ++chunk) {
        if (chunk->second.deleted()) continue;
        try {
            add_block_chunk(*chunk->second.value, set);
            rejected_.erase(chunk->first);
        } catch (const error& problem) {
            rejected_[chunk->first] = {chunk->first, chunk->second.revision, problem.what()};
            return;
        }
    }
    sites_ = std::move(set.sites);
    blocks_ = std::make_shared<block_table>(set.blocks, revision);
}

} // namespace lacewing
