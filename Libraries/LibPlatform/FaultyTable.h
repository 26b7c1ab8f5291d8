/*
 * Copyright (c) 2026, the lilactiller developers
 *
 * SPDX-License-Identifier: BSD-2-Clause
 */

#pragma once

#include <LibPlatform/MemoryTable.h>
#include <atomic>
#include <deque>

namespace Platform {

/// The fault to inject into a call.
enum class Fault : u8 {
    None,
    /// The call fails without any effect.
    Unavailable,
    /// The commit takes effect, but its response is lost.
    LoseResponse,
    /// The commit's request is lost: it has no effect, and the caller cannot distinguish this from a lost response.
    LoseRequest,
};

/// A view of a shared table that injects faults into calls. Each test client has its own.
class FaultyTable {
public:
    explicit FaultyTable(MemoryTable& table)
        : table(table)
    {
    }

    /// Sets the faults of the next calls, one per call. Afterwards, `standing_fault` applies.
    void script(std::deque<Fault> faults) { this->scripted = std::move(faults); }
    void set_standing_fault(Fault fault) { this->standing_fault = fault; }

    Result<Row> read(std::string const& key)
    {
        if (this->next_fault() != Fault::None)
            return platform_unavailable("scripted");
        return this->table.read(key);
    }

    Result<std::vector<Row>> scan(std::string const& prefix, std::string const& after, size_t limit)
    {
        if (this->next_fault() != Fault::None)
            return platform_unavailable("scripted");
        return this->table.scan(prefix, after, limit);
    }

    Result<CommitResult> commit(Transaction const& transaction)
    {
        switch (this->next_fault()) {
        case Fault::Unavailable:
            return platform_unavailable("scripted");
        case Fault::LoseRequest:
            return platform_answer_lost("scripted");
        case Fault::LoseResponse: {
            auto ignored = this->table.commit(transaction);
            VERIFY(ignored.has_value());
            return platform_answer_lost("scripted");
        }
        case Fault::None:
            break;
        }
        return this->table.commit(transaction);
    }

private:
    Fault next_fault()
    {
        if (this->scripted.empty())
            return this->standing_fault;
        auto fault = this->scripted.front();
        this->scripted.pop_front();
        return fault;
    }

    MemoryTable& table;
    std::deque<Fault> scripted;
    Fault standing_fault { Fault::None };
};

static_assert(TableStore<FaultyTable>);

}
