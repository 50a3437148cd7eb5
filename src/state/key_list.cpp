#include "state/key_list.h"

#include "state/error_kind.h"

#include <algorithm>
#include <cstring>
#include <json/reader.h>
#include <json/value.h>
#include <set>

namespace lacewing {

namespace {

// Number of buckets, a power of two. The first bytes of a digest, which are uniformly distributed, select its
// bucket. With 100,000 keys a bucket holds about 100 entries, so a changed digest copies 4 KB and a new list
// 16 KB of pointers.
constexpr std::size_t bucket_count = 1024;

std::size_t bucket_index(const key_digest& digest) {
    return (static_cast<std::size_t>(digest.bytes[0]) << 8U | digest.bytes[1]) % bucket_count;
}

bool digest_less(const key_digest& a, const key_digest& b) {
    return std::memcmp(a.bytes.data(), b.bytes.data(), a.bytes.size()) < 0;
}

[[noreturn]] void reject(const std::string& key, const std::string& reason) {
    throw error(error_kind::bad_request, "object " + key + ": " + reason);
}

Json::Value parse_json(const object_event& object) {
    Json::CharReaderBuilder builder;
    Json::CharReaderBuilder::strictMode(&builder.settings_);
    const std::unique_ptr<Json::CharReader> reader(builder.newCharReader());
    Json::Value json;
    std::string errors;
    const auto* begin = object.value->data();
    try {
        if (!reader->parse(begin, begin + object.value->size(), &json, &errors)) {
            reject(object.key, errors);
        }
    } catch (const Json::Exception& failure) {
        reject(object.key, failure.what());
    }
    return json;
}

// Parses the digests of an object value {"account":A,"digests":[hex…]}. Returns them sorted, without
// duplicates.
std::vector<key_digest> parse_digests(const object_event& object, const std::string& account) {
    std::vector<key_digest> digests;
    if (object.deleted()) {
        return digests;
    }
    const auto json = parse_json(object);
    if (!json.isObject()) {
        reject(object.key, "not a JSON object");
    }
    for (const auto& name : json.getMemberNames()) {
        if (name != "account" && name != "digests" && name != "written_by") {
            reject(object.key, "unknown field " + name);
        }
    }
    if (!json["account"].isString() || json["account"].asString() != account) {
        reject(object.key, "field account does not match the key");
    }
    if (!json["digests"].isArray()) {
        reject(object.key, "field digests is not an array");
    }
    for (const auto& digest : json["digests"]) {
        if (!digest.isString()) {
            reject(object.key, "a digest is not a string");
        }
        digests.push_back(digest_from_hex(digest.asString()));
    }
    std::sort(digests.begin(), digests.end(), digest_less);
    digests.erase(std::unique(digests.begin(), digests.end(), equal_constant_time), digests.end());
    return digests;
}

} // namespace

std::optional<std::uint32_t> key_list::find(const key_digest& digest) const {
    if (buckets_.empty()) {
        return std::nullopt;
    }
    std::optional<std::uint32_t> found;
    const auto& entries = *buckets_[bucket_index(digest)];
    const auto place =
        std::lower_bound(entries.begin(), entries.end(), digest,
                         [](const entry& e, const key_digest& d) { return digest_less(e.digest, d); });
    if (place != entries.end() && equal_constant_time(place->digest, digest)) {
        found = place->account;
    }
    return found;
}

key_list_builder::key_list_builder()
    : accounts_(std::make_shared<const std::vector<account_name>>()), buckets_(bucket_count) {
    for (auto& bucket : buckets_) {
        bucket = std::make_shared<key_list::bucket>();
    }
}

key_object_change key_list_builder::apply(const object_event& object) {
    if (!object.key.starts_with(key_object_prefix)) {
        reject(object.key, "not a key object");
    }
    const auto account = object.key.substr(key_object_prefix.size());
    const auto previous = objects_.find(account);
    if (previous != objects_.end() && object.revision <= previous->second.revision) {
        return {};
    }
    auto digests = parse_digests(object, account);
    static const std::vector<key_digest> no_digests;
    const auto& old_digests = previous == objects_.end() ? no_digests : previous->second.digests;
    std::vector<key_digest> added;
    std::vector<key_digest> removed;
    std::set_difference(digests.begin(), digests.end(), old_digests.begin(), old_digests.end(),
                        std::back_inserter(added), digest_less);
    std::set_difference(old_digests.begin(), old_digests.end(), digests.begin(), digests.end(),
                        std::back_inserter(removed), digest_less);
    for (const auto& digest : added) {
        const auto& entries = *buckets_[bucket_index(digest)];
        const auto owned_by_other_account = std::any_of(entries.begin(), entries.end(), [&](const auto& e) {
            return equal_constant_time(e.digest, digest);
        });
        if (owned_by_other_account) {
            reject(object.key, "digest " + to_hex(digest) + " belongs to another account");
        }
    }
    auto& keys = objects_[account];
    if (previous == objects_.end()) {
        auto accounts = std::make_shared<std::vector<account_name>>(*accounts_);
        keys.index = static_cast<std::uint32_t>(accounts->size());
        accounts->push_back({account});
        accounts_ = std::move(accounts);
    }
    for (const auto& digest : removed) {
        remove(digest);
    }
    for (const auto& digest : added) {
        insert(digest, keys.index);
    }
    keys.revision = object.revision;
    keys.digests = std::move(digests);
    return {added.size(), removed.size()};
}

// Returns the bucket of a digest for a change, copied first if a built list shares it.
key_list::bucket& key_list_builder::writable_bucket(const key_digest& digest) {
    auto& bucket = buckets_[bucket_index(digest)];
    if (bucket.use_count() > 1) {
        bucket = std::make_shared<key_list::bucket>(*bucket);
    }
    return *bucket;
}

void key_list_builder::insert(const key_digest& digest, std::uint32_t account) {
    auto& bucket = writable_bucket(digest);
    const auto place =
        std::lower_bound(bucket.begin(), bucket.end(), digest,
                         [](const auto& e, const key_digest& d) { return digest_less(e.digest, d); });
    bucket.insert(place, {digest, account});
    ++size_;
}

void key_list_builder::remove(const key_digest& digest) {
    auto& bucket = writable_bucket(digest);
    size_ -= std::erase_if(bucket, [&](const auto& e) { return equal_constant_time(e.digest, digest); });
}

std::shared_ptr<const key_list> key_list_builder::build() {
    auto list = std::make_shared<key_list>();
    list->buckets_.assign(buckets_.begin(), buckets_.end());
    list->accounts_ = accounts_;
    list->size_ = size_;
    return list;
}

} // namespace lacewing
