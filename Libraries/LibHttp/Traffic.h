/*
 * Copyright (c) 2026, the lilactiller developers
 *
 * SPDX-License-Identifier: BSD-2-Clause
 */

#pragma once

#include <AK/Types.h>

namespace Http {

/// What a process has carried since its start: bytes on its link, as estimated from those that it reads and writes, and
/// connections of callers.
struct Traffic {
    u64 bytes_received { 0 };
    u64 bytes_sent { 0 };
    u64 connections_accepted { 0 };
    u64 requests_read { 0 };
    /// Requests that were rejected unread, because the memory for requests was used up.
    u64 requests_shed { 0 };
    /// Connections of callers that were closed before any of their bytes was read.
    u64 connections_not_read { 0 };
    /// Connections that this process has made to others, and the time that this took in total.
    u64 connections_made { 0 };
    Duration connect_time { 0 };
    u64 connects_timed_out { 0 };

    void record_received(size_t bytes) { this->bytes_received += on_link(bytes); }
    void record_sent(size_t bytes) { this->bytes_sent += on_link(bytes); }

    /// Bytes that one read or write of `bytes` takes on the link. One of few bytes is one packet.
    static size_t on_link(size_t bytes) { return bytes + (bytes / packet_payload_bytes + 1) * packet_header_bytes; }

private:
    /// Headers of Ethernet, IP and TCP with time stamps.
    static constexpr size_t packet_header_bytes = 66;
    /// Payload of a full Ethernet packet.
    static constexpr size_t packet_payload_bytes = 1'448;
};

}
