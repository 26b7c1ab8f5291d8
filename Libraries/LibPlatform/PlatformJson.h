/*
 * Copyright (c) 2026, the lilactiller developers
 *
 * SPDX-License-Identifier: BSD-2-Clause
 */

#pragma once

#include <LibPlatform/TableStore.h>

/// Parses and formats the JSON bodies of the platform's interface, for the client and the stand-in.
namespace Platform {

Result<std::vector<Row>> parse_rows(std::string const& json);
std::string format_rows(std::vector<Row> const&);
Result<Transaction> parse_transaction(std::string const& json);
std::string format_transaction(Transaction const&);
Result<std::vector<BackendServerRecord>> parse_backend_servers(std::string const& json);
std::string format_backend_servers(std::vector<BackendServerRecord> const&);

}
