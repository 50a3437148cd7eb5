#pragma once

#include "state/ids.h"
#include "state/key_digest.h"
#include "state/object_event.h"

#include <cstdint>
#include <map>
#include <memory>
#include <optional>
#include <span>
#include <string>
#include <string_view>
#include <vector>

namespace lacewing {

/// @brief Prefix of the objects that hold the digests of one account each.
inline constexpr std::string_view key_object_prefix = "keys/";

/// @brief Immutable map from key digest to account, shared between threads. Account indices stay the same
/// over successive lists of one builder.
class key_list {
public:
    /// @brief Index of the account that owns the digest. Every comparison covers the whole digest; the time
    /// depends on the digest only, from which the key cannot be derived.
    [[nodiscard]] std::optional<std::uint32_t> find(const key_digest& digest) const;
    /// @throws std::out_of_range for an index that no list of the builder has returned.
    [[nodiscard]] const account_name& account(std::uint32_t index) const { return accounts_->at(index); }
    [[nodiscard]] std::size_t size() const { return size_; }

private:
    friend class key_list_builder;

    struct entry {
        key_digest digest;
        std::uint32_t account = 0;
    };
    // Sorted by digest; a list shares the buckets that did not change with its predecessor.
    using bucket = std::vector<entry>;

    std::vector<std::shared_ptr<const bucket>> buckets_;
    std::shared_ptr<const std::vector<account_name>> accounts_;
    std::size_t size_ = 0;
};

/// @brief Result of applying an object.
struct key_object_change {
    std::size_t added = 0;
    std::size_t removed = 0;
};

/// @brief Builds key lists from the objects keys/<account>; a change costs time in proportion to the changed
/// digests.
class key_list_builder {
public:
    key_list_builder();

    /// @brief Applies an object of the key prefix; a deletion removes all digests of the account. An older
    /// revision than the one applied is ignored.
    /// @throws error with error_kind::bad_request when the value is malformed, names another account than its
    /// key, or holds a digest of another account; nothing is changed then.
    key_object_change apply(const object_event& object);
    /// @brief The list of all objects applied so far.
    [[nodiscard]] std::shared_ptr<const key_list> build();

private:
    struct account_keys {
        std::uint32_t index = 0;
        revision_id revision;
        std::vector<key_digest> digests;
    };

    void insert(const key_digest& digest, std::uint32_t account);
    void remove(const key_digest& digest);
    key_list::bucket& writable_bucket(const key_digest& digest);

    std::map<std::string, account_keys> objects_;
    std::shared_ptr<const std::vector<account_name>> accounts_;
    std::vector<std::shared_ptr<key_list::bucket>> buckets_;
    std::size_t size_ = 0;
};

} // namespace lacewing
