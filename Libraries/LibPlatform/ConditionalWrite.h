/*
 * Copyright (c) 2026, the lilactiller developers
 *
 * SPDX-License-Identifier: BSD-2-Clause
 */

#pragma once

#include <AK/Error.h>
#include <functional>
#include <string>
#include <vector>

namespace Platform {

struct TableRow {
    std::string table;
    std::string key;
    std::string value;
};

/// Rows of any tables that are written together, if a row still has the version that the writer knows.
struct ConditionalWrite {
    struct Condition {
        std::string table;
        std::string key;
        /// 0 if the row must not exist.
        u64 version { 0 };
    };
    Condition condition;
    std::vector<TableRow> rows;
};

/// Asynchronous conditional writes. Each call invokes its callback exactly once, within `timeout`, with the version
/// that the rows have got. Errors: Conflict if the row has another version, so nothing was written;
/// PlatformUnavailable, after which the write may have been done, or may still be done while its condition holds.
template<typename T>
concept ConditionalWriter
    = requires(T& store, ConditionalWrite const& write, Duration timeout, std::function<void(Result<u64>)> on_done)
{
    store.commit_if(write, timeout, on_done);
};

}
