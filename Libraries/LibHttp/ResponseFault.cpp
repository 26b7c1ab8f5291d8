/*
 * Copyright (c) 2026, the lilactiller developers
 *
 * SPDX-License-Identifier: BSD-2-Clause
 */

#include <AK/Error.h>
#include <LibHttp/ResponseFault.h>

namespace Http {

/// The first status, the first one of a final response, and the first one beyond all classes (RFC 9110, section 15).
static constexpr unsigned first_status = 100;
static constexpr unsigned first_final_status = 200;
static constexpr unsigned end_of_statuses = 600;

std::string_view to_string(ResponseFault fault)
{
    switch (fault) {
    case ResponseFault::UnknownStatus:
        return "the response has a status outside 100 to 599";
    case ResponseFault::SwitchedProtocol:
        return "the response switches to another protocol";
    case ResponseFault::UnknownTransferCoding:
        return "the response has a transfer coding other than chunked alone";
    }
    VERIFY(false);
}

std::optional<ResponseFault> fault_of(ResponseHead const& head)
{
    auto const status = head.result_int();
    if (status < first_status || status >= end_of_statuses)
        return ResponseFault::UnknownStatus;
    if (head.result() == Status::switching_protocols)
        return ResponseFault::SwitchedProtocol;
    if (has_unknown_transfer_coding(head))
        return ResponseFault::UnknownTransferCoding;
    return {};
}

bool is_informational(ResponseHead const& head) { return head.result_int() < first_final_status; }

}
