/*
 * Copyright (c) 2026, the lilactiller developers
 *
 * SPDX-License-Identifier: BSD-2-Clause
 */

#pragma once

#include <AK/Types.h>

/// Identifiers of the brief's entities. Each is a type of its own so that they cannot change places in a call.
namespace AK {

using OrganisationId = StrongType<struct OrganisationTag, std::string>;
using ModelId = StrongType<struct ModelTag, std::string>;
using RouteName = StrongType<struct RouteTag, std::string>;
using ServiceName = StrongType<struct ServiceTag, std::string>;
using EngineId = StrongType<struct EngineTag, std::string>;
/// When a backend server's process started, in Unix milliseconds by its own clock. The id and this name one process: a
/// later start under the same id is another server, which holds and knows nothing of the former one. 0: not told.
using ServerStart = StrongType<struct ServerStartTag, i64>;
using FailureDomainId = StrongType<struct FailureDomainTag, std::string>;
/// Names one process of the system on one host.
using MemberId = StrongType<struct MemberTag, std::string>;
using GenerationId = StrongType<struct GenerationTag, std::string>;
/// An "ip:port" a process listens on.
using Address = StrongType<struct AddressTag, std::string>;
/// Counts the dispatches of one generation; a higher number fences out every lower one.
using AttemptNumber = StrongType<struct AttemptTag, u32>;
/// Grows at each start of a member, so that a restarted member is told from the one that died.
using Incarnation = StrongType<struct IncarnationTag, u64>;
/// Position in the ordered log of configuration changes; 0 is the empty configuration.
using Revision = StrongType<struct RevisionTag, u64>;
/// Fencing token of a lease; a higher epoch fences out every lower one.
using Epoch = StrongType<struct EpochTag, u64>;
/// Number of tokens, in a prompt or an output.
using TokenCount = StrongType<struct TokenCountTag, i64>;

}

using AK::Address;
using AK::AttemptNumber;
using AK::EngineId;
using AK::Epoch;
using AK::FailureDomainId;
using AK::GenerationId;
using AK::Incarnation;
using AK::MemberId;
using AK::ModelId;
using AK::OrganisationId;
using AK::Revision;
using AK::RouteName;
using AK::ServerStart;
using AK::ServiceName;
using AK::TokenCount;
