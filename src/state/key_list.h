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

/// @brief Prefix of the objects keys/<account>, each of which holds the key digests of one account.
inline constexpr std::string_view key_object_prefix = "keys/";

/// @brief Immutable map from key digest to account, shared between threads. The index of an account is the
/// same in all lists of one builder.
class key_list {
public:
    /// @brief Finds the index of the account that owns the digest. The whole digest is compared. The run time
    /// depends on the digests only, so a caller that measures it cannot derive a key.
    [[nodiscard]] std::optional<std::uint32_t> find(const key_digest& digest) const;
    /// @brief Returns the name of an account.
    /// @throws std::out_of_range for an index that find() of this or an earlier list has not returned.
    [[nodiscard]] const account_name& account(std::uint32_t index) const { return accounts_->at(index); }
    /// @brief Number of digests.
    [[nodiscard]] std::size_t size() const { return size_; }

private:
    friend class key_list_builder;

    struct entry {
        key_digest digest;
        std::uint32_t account = 0;
    };
    // Sorted by digest. Successive lists share the buckets that did not change.
    using bucket = std::vector<entry>;

    std::vector<std::shared_ptr<const bucket>> buckets_;
    std::shared_ptr<const std::vector<account_name>> accounts_;
    std::size_t size_ = 0;
};

/// @brief Number of digests that an object has added and removed.
struct key_object_change {
    std::size_t added = 0;
    std::size_t removed = 0;
};

/// @brief Builds key lists from the objects keys/<account>. The cost of a change grows with the number of
/// changed digests, since only their buckets are copied.
class key_list_builder {
public:
    key_list_builder();

    /// @brief Applies an object keys/<account>; a deletion removes all digests of the account. An object
    /// whose revision is not newer than the last one applied is ignored.
    /// @throws error with error_kind::bad_request when the value is malformed, names another account than the
    /// object's key, or holds a digest of another account. Nothing is changed then.
    key_object_change apply(const object_event& object);
    /// @brief Returns the list of all objects applied so far.
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
