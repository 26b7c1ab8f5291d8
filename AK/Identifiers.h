/*
 * Copyright (c) 2026, the lilactiller developers
 *
 * SPDX-License-Identifier: BSD-2-Clause
 */

#pragma once

#include <AK/Types.h>

/// Identifiers of the system's entities. Each has its own type, so that the compiler rejects swapped arguments.
namespace AK {

using OrganisationId = StrongType<struct OrganisationTag, std::string>;
using ModelId = StrongType<struct ModelTag, std::string>;
using RouteName = StrongType<struct RouteTag, std::string>;
using ServiceName = StrongType<struct ServiceTag, std::string>;
/// Version of the software that a backend server runs.
using SoftwareVersion = StrongType<struct SoftwareVersionTag, std::string>;
/// A set of failure domains that share a location.
using RegionId = StrongType<struct RegionTag, std::string>;
using EngineId = StrongType<struct EngineTag, std::string>;
/// Start time of a backend server's process, in Unix milliseconds by its own clock; 0 if the server did not report it.
/// The id and the start time together identify one process. A later start under the same id is a different server,
/// which has none of the state of the earlier one.
using ServerStart = StrongType<struct ServerStartTag, i64>;
using FailureDomainId = StrongType<struct FailureDomainTag, std::string>;
/// Identifies one process of the system on one host.
using MemberId = StrongType<struct MemberTag, std::string>;
using GenerationId = StrongType<struct GenerationTag, std::string>;
/// The "ip:port" that a process listens on.
using Address = StrongType<struct AddressTag, std::string>;
/// Sequence number of a dispatch of one generation; a higher number fences out every lower one.
using AttemptNumber = StrongType<struct AttemptTag, u32>;
/// Increases at each start of a member, to distinguish a restarted member from the one that died.
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
using AK::RegionId;
using AK::Revision;
using AK::RouteName;
using AK::ServerStart;
using AK::ServiceName;
using AK::SoftwareVersion;
using AK::TokenCount;
