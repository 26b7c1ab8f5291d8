/*
 * Copyright (c) 2026, the lilactiller developers
 *
 * SPDX-License-Identifier: BSD-2-Clause
 */

#pragma once

#include <LibHttp/Types.h>
#include <optional>
#include <string_view>

namespace Http {

/// Why a response whose head the parser has accepted can't be used.
enum class ResponseFault : u8 {
    /// No such status exists (RFC 9110, section 15).
    UnknownStatus,
    /// The peer switches to another protocol, although no request asks for one.
    SwitchedProtocol,
    /// Its body is in a transfer coding that is not undone here (RFC 9112, section 6.1).
    UnknownTransferCoding,
};

/// Explains the fault, for logs.
std::string_view to_string(ResponseFault);

/// Returns the fault of the response, if it has one. All responses are checked, also informational ones.
[[nodiscard]] std::optional<ResponseFault> fault_of(ResponseHead const&);

/// Whether the head is followed by the head of the final response. To be called for responses without a fault.
[[nodiscard]] bool is_informational(ResponseHead const&);

}
