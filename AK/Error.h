/*
 * Copyright (c) 2026, the lilactiller developers
 *
 * SPDX-License-Identifier: BSD-2-Clause
 */

#pragma once

#include <AK/Types.h>
#include <boost/outcome/basic_result.hpp>
#include <boost/outcome/policy/terminate.hpp>
#include <boost/outcome/try.hpp>
#include <optional>
#include <string_view>

namespace AK {

/// Error kinds that callers and operators distinguish. to_string() returns the names on the wire.
enum class ErrorKind : u8 {
    InvalidRequest,
    BodyTooLarge,
    Unauthenticated,
    Forbidden,
    UnknownRoute,
    UnknownEntity,
    Conflict,
    OverLimit,
    Overloaded,
    DeadlineUnreachable,
    NoBackendServer,
    Leaving,
    PlatformUnavailable,
    PlatformAnswerLost,
    PeerUnavailable,
    BackendServerFailed,
    GenerationLost,
    InvalidSettings,
    NotReady,
    FencedOut,
    HistoryLost,
    RequestQuarantined,
};

std::string_view to_string(ErrorKind);

/// A typed error. The message states the problem and its remedy.
struct [[nodiscard]] Error {
    ErrorKind kind { ErrorKind::InvalidRequest };
    std::string message;
    /// Delay after which the caller should retry. Set in every rejection for lack of capacity.
    std::optional<Duration> retry_after {};

    bool operator==(Error const&) const = default;
};

template<typename T>
using Result = boost::outcome_v2::basic_result<T, Error, boost::outcome_v2::policy::terminate>;

inline auto success() { return boost::outcome_v2::success(); }

[[noreturn]] void verification_failed(char const* expression, char const* file, int line);

}

/// Returns early on an error: TRY(auto value, fallible()) or TRYV(fallible()).
#define TRY(declaration, expression) BOOST_OUTCOME_TRY(declaration, expression)
#define TRYV(expression) BOOST_OUTCOME_TRYV(expression)

/// Asserts an internal invariant and aborts the process if it does not hold. Not for the validation of input.
#define VERIFY(expression)                                                                                             \
    (static_cast<bool>(expression) ? void(0) : ::AK::verification_failed(#expression, __FILE__, __LINE__))

using AK::Error;
using AK::ErrorKind;
using AK::Result;
using AK::success;
