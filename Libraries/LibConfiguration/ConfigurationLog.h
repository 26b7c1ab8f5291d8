/*
 * Copyright (c) 2026, the lilactiller developers
 *
 * SPDX-License-Identifier: BSD-2-Clause
 */

#pragma once

#include <LibConfiguration/Configuration.h>
#include <LibPlatform/TableStore.h>
#include <google/protobuf/util/json_util.h>
#include <iomanip>
#include <optional>
#include <sstream>
#include <vector>

namespace Configuration {

struct Accepted {
    Revision revision;
    /// The change had already been accepted, and this call changed nothing.
    bool repeated { false };
};

inline std::string to_json(google::protobuf::Message const& message)
{
    std::string json;
    auto status = google::protobuf::util::MessageToJsonString(message, &json);
    VERIFY(status.ok());
    return json;
}

/// Parses a protobuf message from JSON. Errors: InvalidRequest.
template<typename Message>
Result<Message> from_json(std::string const& json)
{
    Message message;
    auto status = google::protobuf::util::JsonStringToMessage(json, &message);
    if (!status.ok())
        return Error { ErrorKind::InvalidRequest,
            "not a " + Message::descriptor()->name() + " (" + std::string(status.message())
                + "); see Operator.proto for its fields",
            {} };
    return message;
}

/// The ordered log of configuration changes in the platform's table. A single transaction accepts a change and moves
/// the head from one revision to the next, so that two operators never get the same revision. After a lost response,
/// the id of the change shows whether it was accepted. Calls block.
template<Platform::TableStore Store>
class ConfigurationLog {
public:
    explicit ConfigurationLog(Store& store)
        : store(store)
    {
    }

    /// Appends `change` unless `change_id` was accepted before. `document` must be this process's replica. The call
    /// updates it to the head, so that the change is validated against the revision that it will follow.
    /// Errors: Conflict when `expected_revision` is not the head or other changes were accepted first in every attempt;
    /// the errors of validate(); PlatformUnavailable when nothing was accepted; PlatformAnswerLost when it is unknown
    /// whether the change was accepted.
    Result<Accepted> append(Document& document, wire::Change const& change, std::string const& change_id,
        std::string const& operator_name, std::optional<Revision> expected_revision)
    {
        bool may_have_been_accepted = false;
        for (int round = 0; round < max_rounds; ++round) {
            auto outcome = this->try_append(document, change, change_id, operator_name, expected_revision);
            if (!outcome && may_have_been_accepted && outcome.error().kind == ErrorKind::PlatformUnavailable)
                return Platform::platform_answer_lost("read back failed; repeat the call with the same change id");
            if (!outcome && outcome.error().kind != ErrorKind::PlatformAnswerLost)
                return outcome.error();
            if (outcome && outcome.value())
                return *outcome.value();
            may_have_been_accepted |= !outcome;
        }
        if (may_have_been_accepted)
            return Platform::platform_answer_lost("it stayed unknown; repeat the call with the same change id");
        return Error { ErrorKind::Conflict, "other operators kept changing the configuration; try again", 1s };
    }

    /// Reads the revision of the head.
    Result<Revision> head()
    {
        TRY(auto row, this->store.read(head_key));
        return parse_revision(row);
    }

    /// Reads at most `limit` entries after `revision`, in order.
    Result<std::vector<wire::LogEntry>> read_after(Revision revision, size_t limit = 500)
    {
        TRY(auto rows, this->store.scan(entry_prefix, entry_key(revision), limit));
        std::vector<wire::LogEntry> entries;
        for (auto const& row : rows) {
            TRY(auto entry, from_json<wire::LogEntry>(row.value));
            entries.push_back(std::move(entry));
        }
        return entries;
    }

    /// Reads the newest snapshot, or nothing when none was written yet.
    Result<std::optional<wire::ConfigurationSnapshot>> read_snapshot() requires Platform::ObjectStore<Store>
    {
        TRY(auto row, this->store.read(snapshot_key));
        if (!row.exists())
            return std::optional<wire::ConfigurationSnapshot>();
        TRY(auto body, this->store.get_object(row.value));
        TRY(auto snapshot, from_json<wire::ConfigurationSnapshot>(body));
        return std::optional(std::move(snapshot));
    }

    /// Writes `document` as a snapshot if its revision is a multiple of `revisions_per_snapshot`. A starting process
    /// reads the snapshot and the entries after it instead of the whole log. A lost response does no harm, since
    /// snapshots only speed up the start.
    Result<void> write_snapshot_if_due(Document const& document) requires Platform::ObjectStore<Store>
    {
        auto revision = document.revision().value();
        if (revision == 0 || revision % revisions_per_snapshot != 0)
            return success();
        TRY(auto row, this->store.read(snapshot_key));
        auto name = "configuration-snapshot-" + std::to_string(revision);
        if (row.exists() && row.value >= name && row.value.size() >= name.size())
            return success();
        TRYV(this->store.put_object(name, to_json(document.snapshot())));
        TRY(auto committed, this->store.commit({ { { snapshot_key, row.version } }, { { snapshot_key, name } } }));
        (void)committed;
        return success();
    }

    /// Applies all entries after the revision of `document`.
    Result<void> catch_up(Document& document)
    {
        while (true) {
            TRY(auto entries, this->read_after(document.revision()));
            if (entries.empty())
                return success();
            for (auto const& entry : entries)
                document.apply(entry);
        }
    }

private:
    static constexpr int max_rounds = 8;
    static constexpr u64 revisions_per_snapshot = 256;
    static constexpr auto snapshot_key = "configuration/snapshot";
    static constexpr auto head_key = "configuration/head";
    static constexpr auto entry_prefix = "configuration/log/";

    static std::string entry_key(Revision revision)
    {
        std::ostringstream key;
        key << entry_prefix << std::setw(12) << std::setfill('0') << revision.value();
        return key.str();
    }

    static std::string change_key(std::string const& change_id) { return "configuration/change/" + change_id; }

    static Revision parse_revision(Platform::Row const& row)
    {
        return Revision(row.exists() ? std::stoull(row.value) : 0);
    }

    /// Attempts the append once. Returns nothing when another change was accepted first.
    Result<std::optional<Accepted>> try_append(Document& document, wire::Change const& change,
        std::string const& change_id, std::string const& operator_name, std::optional<Revision> expected_revision)
    {
        TRY(auto head_row, this->store.read(head_key));
        TRY(auto change_row, this->store.read(change_key(change_id)));
        if (change_row.exists())
            return Accepted { parse_revision(change_row), true };
        auto head_revision = parse_revision(head_row);
        TRYV(this->catch_up(document));
        if (document.revision() != head_revision)
            return std::optional<Accepted>();
        if (expected_revision && *expected_revision != head_revision) {
            return Error { ErrorKind::Conflict,
                "the configuration is at revision " + std::to_string(head_revision.value()) + ", not "
                    + std::to_string(expected_revision->value()) + "; look at what changed and apply again",
                {} };
        }
        TRYV(document.validate(change));
        Revision next(head_revision.value() + 1);
        TRY(auto result, this->store.commit(make_transaction(head_row, next, change, change_id, operator_name)));
        if (result == Platform::CommitResult::ConditionFailed)
            return std::optional<Accepted>();
        return Accepted { next, false };
    }

    static Platform::Transaction make_transaction(Platform::Row const& head_row, Revision next,
        wire::Change const& change, std::string const& change_id, std::string const& operator_name)
    {
        wire::LogEntry entry;
        entry.set_revision(next.value());
        entry.set_change_id(change_id);
        entry.set_operator_name(operator_name);
        *entry.mutable_change() = change;
        auto revision_text = std::to_string(next.value());
        return {
            .conditions = { { head_key, head_row.version }, { change_key(change_id), 0 } },
            .writes = { { head_key, revision_text }, { entry_key(next), to_json(entry) },
                { change_key(change_id), revision_text } },
        };
    }

    Store& store;
};

}
