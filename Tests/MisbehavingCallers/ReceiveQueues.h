/*
 * Copyright (c) 2026, the lilactiller developers
 *
 * SPDX-License-Identifier: BSD-2-Clause
 */

#pragma once

#include <LibHttp/Types.h>
#include <fstream>
#include <sstream>

namespace Test {

/// Bytes that have arrived on the connections that were accepted at `endpoint`, and that its process has not read yet.
inline u64 unread_bytes_at(Http::tcp::endpoint const& endpoint)
{
    constexpr int base = 16;
    constexpr std::string_view listening = "0A";
    std::ifstream table("/proc/net/tcp");
    std::string line;
    std::getline(table, line);
    u64 total = 0;
    while (std::getline(table, line)) {
        std::istringstream columns(line);
        std::string number;
        std::string local;
        std::string remote;
        std::string state;
        std::string queues;
        columns >> number >> local >> remote >> state >> queues;
        auto const port = std::stoul(local.substr(local.find(':') + 1), nullptr, base);
        if (port == endpoint.port() && state != listening)
            total += std::stoull(queues.substr(queues.find(':') + 1), nullptr, base);
    }
    return total;
}

}
