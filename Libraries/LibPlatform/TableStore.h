/*
 * Copyright (c) 2026, the lilactiller developers
 *
 * SPDX-License-Identifier: BSD-2-Clause
 */

#pragma once

#include <AK/Error.h>
#include <AK/Identifiers.h>
#include <concepts>
#include <optional>
#include <string>
#include <vector>

namespace Platform {

/// One row of the table service. Version 0 means that the row does not exist.
struct Row {
    std::string key;
    std::string value;
    u64 version { 0 };

    [[nodiscard]] bool exists() const { return this->version != 0; }
};

/// A transaction commits only if `key` has this version.
struct Condition {
    std::string key;
    u64 expected_version { 0 };
};

/// Sets a row, or deletes it if there is no value.
struct Write {
    std::string key;
    std::optional<std::string> value;
};

struct Transaction {
    std::vector<Condition> conditions;
    std::vector<Write> writes;
};

enum class CommitResult : u8 {
    Committed,
    ConditionFailed,
};

/// The platform's transactional table service. Calls block and must run on a background thread.
/// Errors: PlatformUnavailable if the call had no effect; PlatformAnswerLost if a commit may have taken effect.
template<typename T>
concept TableStore = requires(T& store, std::string const& text, Transaction const& transaction, size_t limit)
{
    {
        store.read(text)
        } -> std::same_as<Result<Row>>;
    {
        store.scan(text, text, limit)
        } -> std::same_as<Result<std::vector<Row>>>;
    {
        store.commit(transaction)
        } -> std::same_as<Result<CommitResult>>;
};

/// The platform's object store, for bodies too large for a row. Returns the same errors as TableStore.
template<typename T>
concept ObjectStore = requires(T& store, std::string const& text)
{
    {
        store.put_object(text, text)
        } -> std::same_as<Result<void>>;
    {
        store.get_object(text)
        } -> std::same_as<Result<std::string>>;
};

enum class BackendServerState : u8 {
    Live,
    Leaving,
};

/// A backend server's entry in the platform's list. The list lags behind the server's actual state.
struct BackendServerRecord {
    EngineId id;
    Address address;
    FailureDomainId failure_domain;
    /// The model that an engine serves.
    ModelId model;
    /// The plain service to which the server belongs; empty for an engine.
    ServiceName service;
    TokenCount capacity;
    BackendServerState state { BackendServerState::Live };
    /// Whether the server rejects orders with an epoch older than one that it has seen.
    bool checks_epochs { true };

    bool operator==(BackendServerRecord const&) const = default;
};

inline Error platform_unavailable(std::string const& detail)
{
    return { ErrorKind::PlatformUnavailable,
        "the platform's service does not answer (" + detail + "); nothing was changed, try again later", 5s };
}

inline Error platform_answer_lost(std::string const& detail)
{
    return { ErrorKind::PlatformAnswerLost,
        "the platform's answer was lost (" + detail + "); the write may have been done, read it back", 1s };
}

}
