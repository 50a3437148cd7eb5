#pragma once

#include "coordination/router.h"
#include "state/block_table.h"
#include "state/configuration.h"
#include "state/ids.h"
#include "state/key_list.h"
#include "state/object_event.h"

#include <map>
#include <memory>
#include <optional>
#include <span>
#include <string>
#include <vector>

namespace lacewing {

/// @brief State that the request path reads; built by the control thread and never changed afterwards.
struct serving_snapshot {
    /// Store revision up to which the snapshot is complete.
    revision_id revision;
    std::shared_ptr<const configuration> config;
    std::shared_ptr<const key_list> keys;
    /// Endpoints that get no new requests.
    std::vector<endpoint_name> drained;
    /// Limits of versions; later entries are newer.
    std::vector<version_share> shares;
};

/// @brief Time up to which the key list may be used without new evidence, checked at each use.
struct key_validity {
    time_ms valid_until{-1};
    /// Why the list may be used or not, for the dump.
    std::string verdict;
};

/// @brief A stored object that was not accepted. The last accepted configuration, keys or client blocks stay
/// in force; a rejected drain or version move has no effect.
struct rejected_object {
    std::string key;
    revision_id revision;
    std::string reason;
};

/// @brief Derives snapshots from the replicated objects.
class snapshot_builder {
public:
    using object_map = std::map<std::string, object_event>;

    /// @brief Applies the changed objects and builds a new snapshot.
    /// @param changed Keys that changed since the last call.
    /// @return True when the snapshot differs from the last one.
    bool update(const object_map& objects, std::span<const std::string> changed, revision_id revision);

    /// @brief The newest snapshot; null before the first valid configuration.
    [[nodiscard]] std::shared_ptr<const serving_snapshot> snapshot() const { return snapshot_; }

    /// @brief Client blocks and the sites they name.
    [[nodiscard]] std::shared_ptr<const block_table> blocks() const { return blocks_; }
    [[nodiscard]] std::span<const block_site> sites() const { return sites_; }
    [[nodiscard]] bool move_in_progress() const { return move_in_progress_; }

    /// @brief Revision of the object config/current that is in force.
    [[nodiscard]] revision_id config_revision() const { return config_revision_; }
    /// @brief Objects whose newest revision was not accepted, by key.
    [[nodiscard]] const std::map<std::string, rejected_object>& rejected() const { return rejected_; }

private:
    void load_config(const object_event& object);
    void load_keys(const object_map& objects, std::span<const std::string> changed);
    void load_moves(const object_map& objects);
    void load_blocks(const object_map& objects, revision_id revision);
    void add_drained_endpoints(std::string_view kind, std::string_view name,
                               std::vector<endpoint_name>& out) const;

    std::shared_ptr<const configuration> config_;
    revision_id config_revision_;
    key_list_builder key_builder_;
    std::shared_ptr<const key_list> keys_;
    std::vector<endpoint_name> drained_;
    std::vector<version_share> shares_;
    std::shared_ptr<const block_table> blocks_;
    std::vector<block_site> sites_;
    bool move_in_progress_ = false;
    std::map<std::string, rejected_object> rejected_;
    std::shared_ptr<const serving_snapshot> snapshot_;
};

} // namespace lacewing
