#pragma once

#include "gateway/object_copy.h"
#include "platform/object_store.h"
#include "state/time_ms.h"

#include <algorithm>
#include <cstdint>
#include <functional>
#include <map>
#include <optional>
#include <random>
#include <set>
#include <string>
#include <vector>

#include <boost/asio.hpp>

namespace lacewing {

/// @brief Where a change of the stored objects was learned.
enum class change_source : std::uint8_t { store, other_vm };

/// @brief Names of the objects of one kind that were changed or removed.
struct mirror_change {
    std::string kind;
    std::vector<std::string> changed;
    std::vector<std::string> removed;
    /// Objects that were replaced by entries that cannot be used.
    std::vector<std::string> unusable;
    /// Set when the store was unavailable until lately: removed registrations may have lapsed only because
    /// they could not be renewed, and then are back by this time.
    std::optional<time_ms> lapsed_return_by;
    change_source source = change_source::store;
};

/// @brief Kind of objects to mirror.
struct mirrored_kind {
    std::string name;
    /// What is kept of the objects.
    platform::object_filter filter;
    /// The reports between VMs carry the same changes, so the store's own may come later.
    bool reported_by_vms = false;
    /// Changes are many, and a second's delay of one harms nobody: the copy of a VM that does not watch for
    /// its region may lag.
    bool may_lag = false;
};

/// @brief Local copy of some kinds of objects in the platform's store, kept current by watches.
///
/// While the store is unavailable, the copy is kept and can be updated from snapshots of other VMs.
class store_mirror {
public:
    using listener = std::function<void(const mirror_change&)>;

    store_mirror(boost::asio::io_context& context, platform::object_store& store,
                 const std::vector<mirrored_kind>& kinds, std::uint64_t seed, listener on_change);

    /// @brief Starts listing and watching all kinds.
    void start();

    /// @brief Sets the number of live VMs, including this one, which notice changes for each other.
    void set_live_vms(std::size_t count) {
        live_vms_ = static_cast<std::int64_t>(std::max<std::size_t>(1, count));
    }

    /// @brief Sets whether this VM watches for its region: its watches see each change at once, and the other
    /// VMs learn of changes from it before their own watches bring them.
    void set_watches_for_region(bool watches) { watches_for_region_ = watches; }

    /// @brief Objects of a kind by name.
    [[nodiscard]] const object_copy::object_map& objects(const std::string& kind) const;
    /// @brief Whether a kind has been listed at least in part, or received from another VM, since the start.
    [[nodiscard]] bool partly_known(const std::string& kind) const;
    /// @brief Store revision of the newest known change, by kind.
    [[nodiscard]] std::map<std::string, std::uint64_t> change_revisions() const;
    /// @brief Store revision up to which the copy of a kind is complete; nothing for a kind that is not
    /// mirrored.
    [[nodiscard]] std::optional<std::uint64_t> complete_revision(const std::string& kind) const;
    /// @brief Whether the store has answered within the duration of one watch.
    [[nodiscard]] bool is_reachable(time_ms now) const;

    /// @brief All objects of a kind for another VM, as JSON text.
    [[nodiscard]] std::string snapshot(const std::string& kind) const;
    /// @brief What is kept of the objects of a kind.
    [[nodiscard]] const platform::object_filter& filter(const std::string& kind) const {
        return kinds_.at(kind).filter;
    }
    /// @brief Replaces the copy of a kind by another VM's snapshot if that is newer.
    /// @param reader Has read the JSON text from snapshot().
    /// @return Whether the snapshot was applied.
    /// @throws error with error_kind::bad_request for malformed text.
    bool apply_snapshot(const std::string& kind, platform::page_reader& reader);

    /// @brief Objects that were not kept, counted each time that they were read.
    [[nodiscard]] const platform::left_out_objects& left_out() const { return left_out_; }
    /// @brief Memory in bytes that the objects of all kinds take.
    [[nodiscard]] std::size_t bytes() const;

private:
    boost::asio::awaitable<void> list_and_watch(std::string kind);
    boost::asio::awaitable<void> wait_random(time_ms min_wait, time_ms max_wait);
    [[nodiscard]] time_ms watch_wait(const std::string& kind);
    [[nodiscard]] bool may_lag(const std::string& kind) const {
        return !watches_for_region_ && lagging_kinds_.contains(kind);
    }
    [[nodiscard]] boost::asio::awaitable<platform::page_result> fetch(std::string kind, bool must_list);
    void publish(const std::string& kind, object_changes changes, change_source source);
    void use_part(const std::string& kind, const platform::object_page& part, time_ms& next_use);
    void note_left_out(const std::string& kind, const platform::left_out_objects& left_out);
    void on_success(time_ms now);
    void on_failure(time_ms now, const std::string& kind, const std::string& reason);
    [[nodiscard]] std::optional<time_ms> lapsed_return_by(time_ms now) const;

    boost::asio::io_context& context_;
    platform::object_store& store_;
    struct copied_kind {
        object_copy copy;
        platform::object_filter filter;
    };
    std::map<std::string, copied_kind> kinds_;
    platform::left_out_objects left_out_;
    std::set<std::string> relaxed_kinds_;
    std::set<std::string> lagging_kinds_;
    std::int64_t live_vms_ = 1;
    bool watches_for_region_ = true;
    std::mt19937_64 random_;
    listener on_change_;
    time_ms last_success_{-1'000'000};
    time_ms recovered_at_{-1'000'000};
    bool store_lost_ = false;
    time_ms store_lost_since_{0};
};

} // namespace lacewing
