/*
 * Copyright (c) 2026, the lilactiller developers
 *
 * SPDX-License-Identifier: BSD-2-Clause
 */

#pragma once

#include <LibPlatform/TableStore.h>
#include <map>
#include <mutex>

namespace Platform {

/// An in-memory table service and object store, for stand-ins and tests. Thread safe.
class MemoryTable {
public:
    Result<Row> read(std::string const& key);
    /// Returns the rows whose key starts with `prefix` and is greater than `after`, in key order.
    Result<std::vector<Row>> scan(std::string const& prefix, std::string const& after, size_t limit);
    Result<CommitResult> commit(Transaction const&);
    Result<void> put_object(std::string const& name, std::string const& body);
    Result<std::string> get_object(std::string const& name);

    [[nodiscard]] u64 commit_count() const { return this->commits; }

private:
    std::mutex mutex;
    std::map<std::string, Row> rows;
    std::map<std::string, std::string> objects;
    // One counter for all rows, so that a row that is deleted and created again never gets a version it had before.
    u64 last_version { 0 };
    u64 commits { 0 };
};

static_assert(TableStore<MemoryTable> && ObjectStore<MemoryTable>);

}
