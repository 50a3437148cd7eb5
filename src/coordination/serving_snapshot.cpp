#include "coordination/serving_snapshot.h"

#include "state/error_kind.h"

#include <json/json.h>

#include <algorithm>
#include <fmt/format.h>

namespace lacewing {

namespace {

constexpr std::string_view config_key = "config/current";
constexpr std::string_view drains_prefix = "drains/";
constexpr std::string_view moves_prefix = "moves/";
constexpr std::string_view blocks_prefix = "blocks/";

bool any_with_prefix(std::span<const std::string> keys, std::string_view prefix) {
    return std::any_of(keys.begin(), keys.end(),
                       [prefix](const auto& key) { return key.starts_with(prefix); });
}

// Parses the JSON value of an object.
Json::Value parse_object(const object_event& object) {
    Json::CharReaderBuilder builder;
    const std::unique_ptr<Json::CharReader> reader(builder.newCharReader());
    Json::Value value;
    std::string problems;
    const auto& text = *object.value;
    if (!reader->parse(text.data(), text.data() + text.size(), &value, &problems) || !value.isObject()) {
        throw error(error_kind::bad_request, fmt::format("not a JSON object: {}", problems));
    }
    return value;
}

std::string text_of(const Json::Value& value) {
    return value.isString() ? value.asString() : std::string();
}

// Whether a move with this state is in force: a drain that is done stays drained, one that was taken back
// does not.
bool in_force(const Json::Value& move) {
    return text_of(move["state"]) != "taken_back";
}

bool ended(const Json::Value& move) {
    const auto state = text_of(move["state"]);
    return state == "done" || state == "taken_back";
}

} // namespace

bool snapshot_builder::update(const object_map& objects, std::span<const std::string> changed,
                              revision_id revision) {
    if (changed.empty() && snapshot_ && snapshot_->revision == revision) return false;
    const bool config_changed = std::find(changed.begin(), changed.end(), config_key) != changed.end();
    if (config_changed) {
        const auto found = objects.find(std::string(config_key));
        if (found != objects.end() && !found->second.deleted()) read_config(found->second);
    }
    if (!keys_ || any_with_prefix(changed, key_object_prefix)) {
        read_keys(objects, changed);
    }
    if (config_changed || any_with_prefix(changed, drains_prefix) || any_with_prefix(changed, moves_prefix)) {
        read_moves(objects);
    }
    if (any_with_prefix(changed, blocks_prefix)) read_blocks(objects, revision);
    if (!config_) return false;
    snapshot_ =
        std::make_shared<serving_snapshot>(serving_snapshot{revision, config_, keys_, drained_, shares_});
    return true;
}

void snapshot_builder::read_config(const object_event& object) {
    try {
        config_ = std::make_shared<configuration>(parse_configuration(*object.value, object.key));
        config_revision_ = object.revision;
        rejected_.erase(object.key);
    } catch (const config_error& problem) {
        rejected_[object.key] = {object.key, object.revision, problem.what()};
    }
}

// Applies the changed key objects; a malformed one leaves the keys of its account as they were.
void snapshot_builder::read_keys(const object_map& objects, std::span<const std::string> changed) {
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
void snapshot_builder::read_moves(const object_map& objects) {
    if (!config_) return;
    drained_.clear();
    shares_.clear();
    move_in_progress_ = false;
    std::vector<std::pair<std::int64_t, version_share>> shares;
    for (const auto& [key, object] : objects) {
        const bool drain = key.starts_with(drains_prefix);
        if (object.deleted() || (!drain && !key.starts_with(moves_prefix))) continue;
        try {
            const auto value = parse_object(object);
            rejected_.erase(key);
            if (!in_force(value) && drain) continue;
            move_in_progress_ = move_in_progress_ || !ended(value);
            if (drain) {
                drain_target(text_of(value["target"]["kind"]), text_of(value["target"]["name"]), drained_);
            } else {
                // Until the driver has entered a stage the new version receives nothing.
                const auto ppm = value["share_ppm"].isInt64() ? value["share_ppm"].asInt64() : 0;
                const auto at = value["requested_at"].isInt64() ? value["requested_at"].asInt64() : 0;
                shares.emplace_back(at, version_share{route_name{text_of(value["route"])},
                                                      text_of(value["to"]), in_force(value) ? ppm : 0});
            }
        } catch (const error& problem) {
            rejected_[key] = {key, object.revision, problem.what()};
        }
    }
    // The newest move last, as version_share requires.
    std::stable_sort(shares.begin(), shares.end(),
                     [](const auto& a, const auto& b) { return a.first < b.first; });
    for (auto& [at, share] : shares)
        shares_.push_back(std::move(share));
}

// Adds the endpoints of a drain target.
void snapshot_builder::drain_target(std::string_view kind, std::string_view name,
                                    std::vector<endpoint_name>& out) const {
    for (const auto& route : config_->routes) {
        for (const auto& endpoint : route.endpoints) {
            const auto* zone = config_->find_zone(endpoint.zone.value);
            const bool hit = (kind == "endpoint" && endpoint.name.value == name) ||
                             (kind == "zone" && endpoint.zone.value == name) ||
                             (kind == "region" && zone != nullptr && zone->region.value == name);
            if (hit) out.push_back(endpoint.name);
        }
    }
}

void snapshot_builder::read_blocks(const object_map& objects, revision_id revision) {
    block_set set;
    for (auto place = objects.lower_bound(std::string(blocks_prefix));
         place != objects.end() && place->first.starts_with(blocks_prefix); ++place) {
        if (place->second.deleted()) continue;
        try {
            add_block_chunk(*place->second.value, set);
            rejected_.erase(place->first);
        } catch (const error& problem) {
            rejected_[place->first] = {place->first, place->second.revision, problem.what()};
            return;
        }
    }
    sites_ = std::move(set.sites);
    blocks_ = std::make_shared<block_table>(set.blocks, revision);
}

} // namespace lacewing
