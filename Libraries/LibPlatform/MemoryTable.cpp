/*
 * Copyright (c) 2026, the lilactiller developers
 *
 * SPDX-License-Identifier: BSD-2-Clause
 */

#include <LibPlatform/MemoryTable.h>
#include <algorithm>

namespace Platform {

Result<Row> MemoryTable::read(std::string const& key)
{
    std::lock_guard lock(this->mutex);
    auto found = this->rows.find(key);
    if (found == this->rows.end())
        return Row { key, {}, 0 };
    return found->second;
}

Result<std::vector<Row>> MemoryTable::scan(std::string const& prefix, std::string const& after, size_t limit)
{
    std::lock_guard lock(this->mutex);
    std::vector<Row> result;
    for (auto row = this->rows.upper_bound(std::max(prefix, after)); row != this->rows.end(); ++row) {
        if (!row->first.starts_with(prefix) || result.size() == limit)
            break;
        result.push_back(row->second);
    }
    return result;
}

Result<CommitResult> MemoryTable::commit(Transaction const& transaction)
{
    std::lock_guard lock(this->mutex);
    for (auto const& condition : transaction.conditions) {
        auto found = this->rows.find(condition.key);
        auto version = found == this->rows.end() ? 0 : found->second.version;
        if (version != condition.expected_version)
            return CommitResult::ConditionFailed;
    }
    ++this->last_version;
    ++this->commits;
    for (auto const& write : transaction.writes) {
        if (write.value)
            this->rows[write.key] = { write.key, *write.value, this->last_version };
        else
            this->rows.erase(write.key);
    }
    return CommitResult::Committed;
}

Result<void> MemoryTable::put_object(std::string const& name, std::string const& body)
{
    std::lock_guard lock(this->mutex);
    this->objects[name] = body;
    return success();
}

Result<std::string> MemoryTable::get_object(std::string const& name)
{
    std::lock_guard lock(this->mutex);
    auto found = this->objects.find(name);
    if (found == this->objects.end())
        return Error { ErrorKind::UnknownEntity, "there is no object " + name + "; check the name" };
    return found->second;
}

}
