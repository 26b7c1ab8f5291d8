/*
 * Copyright (c) 2026, the lilactiller developers
 *
 * SPDX-License-Identifier: BSD-2-Clause
 */

#include <AK/Error.h>
#include <cstdlib>
#include <iostream>

namespace AK {

std::string_view to_string(ErrorKind kind)
{
    switch (kind) {
    case ErrorKind::InvalidRequest:
        return "invalid_request";
    case ErrorKind::BodyTooLarge:
        return "body_too_large";
    case ErrorKind::Unauthenticated:
        return "unauthenticated";
    case ErrorKind::Forbidden:
        return "forbidden";
    case ErrorKind::UnknownRoute:
        return "unknown_route";
    case ErrorKind::UnknownEntity:
        return "unknown_entity";
    case ErrorKind::Conflict:
        return "conflict";
    case ErrorKind::OverLimit:
        return "over_limit";
    case ErrorKind::Overloaded:
        return "overloaded";
    case ErrorKind::DeadlineUnreachable:
        return "deadline_unreachable";
    case ErrorKind::NoBackendServer:
        return "no_backend_server";
    case ErrorKind::Leaving:
        return "leaving";
    case ErrorKind::PlatformUnavailable:
        return "platform_unavailable";
    case ErrorKind::PlatformAnswerLost:
        return "platform_answer_lost";
    case ErrorKind::PeerUnavailable:
        return "peer_unavailable";
    case ErrorKind::BackendServerFailed:
        return "backend_server_failed";
    case ErrorKind::GenerationLost:
        return "generation_lost";
    case ErrorKind::InvalidSettings:
        return "invalid_settings";
    case ErrorKind::NotReady:
        return "not_ready";
    case ErrorKind::HistoryLost:
        return "history_lost";
    case ErrorKind::RequestQuarantined:
        return "request_held";
    case ErrorKind::FencedOut:
        return "fenced_out";
    }
    VERIFY(false);
}

void verification_failed(char const* expression, char const* file, int line)
{
    std::cerr << file << ':' << line << ": verification failed: " << expression << std::endl;
    std::abort();
}

}
