#include "ctl/commands.h"
#include "ctl/fleet.h"

#include <algorithm>
#include <array>
#include <fmt/format.h>
#include <iostream>
#include <openssl/evp.h>
#include <openssl/rand.h>

namespace lacewing::ctl {

namespace {

constexpr std::size_t key_bytes = 32;
// Distinguishes a key from a digest on the command line.
constexpr std::string_view key_prefix = "lwk_";
// Additions and removals of digests commute, so a write that lost a race is repeated on the newer list.
constexpr int max_write_attempts = 10;

template <class Bytes>
std::string hex_text(const Bytes& bytes) {
    std::string text;
    for (const auto byte : bytes)
        text += fmt::format("{:02x}", byte);
    return text;
}

std::string generate_key() {
    std::array<unsigned char, key_bytes> bytes{};
    if (RAND_bytes(bytes.data(), static_cast<int>(bytes.size())) != 1) {
        throw command_error(exit_status::failed, "no random bytes for a key");
    }
    return std::string(key_prefix) + hex_text(bytes);
}

std::string sha256_hex(std::string_view key) {
    std::array<unsigned char, 32> digest{};
    if (EVP_Digest(key.data(), key.size(), digest.data(), nullptr, EVP_sha256(), nullptr) != 1) {
        throw command_error(exit_status::failed, "SHA-256 is not available");
    }
    return hex_text(digest);
}

bool is_digest(std::string_view text) {
    return text.size() == 64 && text.find_first_not_of("0123456789abcdef") == std::string_view::npos;
}

Json::Value digest_list(const Json::Value& value) {
    return value["digests"].isArray() ? value["digests"] : Json::Value(Json::arrayValue);
}

bool contains_digest(const Json::Value& digests, const std::string& digest) {
    return std::ranges::any_of(digests, [&](const auto& item) { return item.asString() == digest; });
}

// Applies `change` to the digest list of an account; repeats it when another writer changed the list
// meanwhile.
template <class Change>
revision_id change_digests(store_access& store, const std::string& account, Change change) {
    const auto key = "keys/" + account;
    write_result result;
    for (int attempt = 0; attempt < max_write_attempts; ++attempt) {
        const auto object = store.get(key);
        Json::Value value;
        value["account"] = account;
        value["digests"] = change(object ? digest_list(object->value) : Json::Value(Json::arrayValue));
        result = store.put(key, value, object ? object->revision : revision_id{});
        if (result.written) return result.revision;
    }
    throw command_error(exit_status::conflict,
                        fmt::format("{}: conflict, revision {} won", key, result.revision.value));
}

void require_account(store_access& store, const std::string& account) {
    if (read_configuration(store).config.find_account(account) != nullptr) return;
    throw command_error(exit_status::bad_input,
                        fmt::format("account '{}' is not in the stored configuration", account));
}

void record_key_change(const global_options& options, store_access& store, revision_id revision,
                       const std::string& account, const std::string& decided, const std::string& digest) {
    Json::Value evidence(Json::arrayValue);
    evidence.append("digest " + digest);
    record_history(store, {"keys/" + account, revision, options.requested_by, decided, evidence});
}

exit_status give_key(const global_options& options, const std::string& account) {
    auto store = open_store(options);
    require_account(store, account);
    const auto key = generate_key();
    const auto digest = sha256_hex(key);
    const auto revision = change_digests(store, account, [&](Json::Value digests) {
        digests.append(digest);
        return digests;
    });
    // The key is printed before the audit record is written: the key cannot be read again, but the record can
    // be added later.
    if (!options.json) fmt::print("{}\n", key);
    record_key_change(options, store, revision, account, "key added", digest);
    Json::Value answer;
    answer["account"] = account;
    answer["key"] = key;
    answer["digest"] = digest;
    return report_write(options, revision, answer,
                        fmt::format("digest {} accepted at revision {}", digest, revision.value));
}

exit_status withdraw_key(const global_options& options, const std::string& account, std::string key) {
    if (key == "-") std::getline(std::cin, key);
    if (key.empty()) throw command_error(exit_status::bad_input, "no key was given");
    const auto digest = is_digest(key) ? key : sha256_hex(key);
    auto store = open_store(options);
    Json::Value answer;
    answer["account"] = account;
    answer["digest"] = digest;
    const auto stored = store.get("keys/" + account);
    if (!stored || !contains_digest(digest_list(stored->value), digest)) {
        answer["changed"] = false;
        return report_write(options, stored ? stored->revision : revision_id{}, answer,
                            fmt::format("digest {} is not a key of {}", digest, account));
    }
    const auto revision = change_digests(store, account, [&](const Json::Value& digests) {
        Json::Value remaining(Json::arrayValue);
        for (const auto& item : digests) {
            if (item.asString() != digest) remaining.append(item);
        }
        return remaining;
    });
    record_key_change(options, store, revision, account, "key revoked", digest);
    answer["changed"] = true;
    return report_write(options, revision, answer,
                        fmt::format("digest {} withdrawn at revision {}", digest, revision.value));
}

} // namespace

void add_key_commands(CLI::App& app, const global_options& options, chosen_command& chosen) {
    auto* keys = app.add_subcommand("keys", "Give and withdraw keys of accounts");
    keys->require_subcommand(1);
    keys->fallthrough();
    auto account = std::make_shared<std::string>();
    auto key = std::make_shared<std::string>();
    auto* give_command =
        keys->add_subcommand("give", "Generate a key and print it once; only its digest is stored");
    give_command->add_option("ACCOUNT", *account)->required();
    give_command->callback([&options, &chosen, account] {
        chosen = [&options, account] { return give_key(options, *account); };
    });
    auto* withdraw_command = keys->add_subcommand("withdraw", "Revoke a key");
    withdraw_command->add_option("ACCOUNT", *account)->required();
    withdraw_command->add_option("KEY", *key, "Key or its SHA-256 digest; - reads it from standard input")
        ->required();
    withdraw_command->callback([&options, &chosen, account, key] {
        chosen = [&options, account, key] { return withdraw_key(options, *account, *key); };
    });
}

} // namespace lacewing::ctl
