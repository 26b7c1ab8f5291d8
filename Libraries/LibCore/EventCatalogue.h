/*
 * Copyright (c) 2026, the lilactiller developers
 *
 * SPDX-License-Identifier: BSD-2-Clause
 */

#pragma once

#include <AK/Types.h>
#include <span>
#include <string_view>

namespace Core {

/// Numbers of the events that a process writes to its log and its timeline. docs/EVENTS.md describes each event, and a
/// test checks that the page matches this list. The number of a removed event is never reused.
enum class EventNumber : u32 {
    ProcessStarted = 1001,
    ProcessReady = 1002,
    ProcessLeaving = 1003,
    ProcessStopped = 1004,
    SettingsReloaded = 1005,
    LogLinesDropped = 1006,
    SettingsRejected = 1007,
    LoopStalled = 1008,
    HostLoadReported = 1009,
    HandlerFailed = 1010,
    MemberJoined = 1101,
    MemberLeaving = 1102,
    MemberLost = 1103,
    MemberReplaced = 1104,
    FailureDomainSilent = 1105,
    FailureDomainReachable = 1106,
    FailureDomainDoubtful = 1107,
    FailureDomainDoubtEnded = 1108,
    ConnectionProbed = 1109,
    RevisionInForce = 1201,
    ChangeAccepted = 1202,
    ChangeRefused = 1203,
    ConfigurationStale = 1204,
    PlatformUnavailable = 1301,
    PlatformAvailable = 1302,
    TableListed = 1303,
    PlatformContentRejected = 1304,
    TableLoaded = 1305,
    RequestReceived = 2001,
    RequestRefused = 2002,
    GenerationQueued = 2101,
    GenerationPlaced = 2102,
    GenerationRefused = 2103,
    GenerationFinished = 2106,
    GenerationRebuilt = 2107,
    PlacementRepeated = 2108,
    GenerationCopied = 2109,
    GenerationMoved = 2110,
    MoveFailed = 2111,
    FirstTokenDelivered = 2201,
    StreamResumed = 2202,
    StreamEnded = 2203,
    StreamFailed = 2204,
    EngineSeen = 2301,
    EngineLeaving = 2302,
    EngineSilent = 2303,
    OwnershipTaken = 2304,
    OwnershipGivenUp = 2305,
    BackendServerChanged = 2306,
    BackendServerGone = 2307,
    BackendServerSuspected = 2308,
    ServicesUnreachable = 2309,
    DomainEvacuated = 2310,
    DomainEvacuationRevoked = 2311,
    BackendServerDisconnected = 2312,
    ServerLimitChanged = 2313,
    ServerRequestedBackOff = 2314,
    ServerAnnouncedLeaving = 2315,
    RolloutAdvanced = 2316,
    RolloutRolledBack = 2317,
    ServiceReportsSlowness = 2318,
    ServerPaceKnown = 2319,
    ServiceContactChanged = 2320,
    BackendServerRemovalDeferred = 2321,
    ServiceCallDispatched = 2401,
    ServiceCallEnded = 2402,
    ClaimRefused = 2403,
    CallRetried = 2404,
    CallerLeft = 2405,
    CallerConnectionClosed = 2406,
    RepeatDecided = 2407,
    RequestQuarantined = 2408,
    RequestReleased = 2409,
    RequestForwarded = 2410,
    ForwardingEnded = 2411,
    DispatchEnded = 2412,
    ResponseSkipped = 2413,
    QuarantineTrial = 2414,
    LeaseTaken = 2501,
    LeaseLapsed = 2502,
    OrderSent = 2503,
    OrderWithheld = 2504,
    ShortageBegan = 2601,
    ShortageEnded = 2602,
    GenerationWaits = 2603,
    GenerationWaited = 2604,
    ReturnRequested = 2611,
    CallerReturned = 2612,
};

enum class Severity : u8 {
    Information,
    Warning,
    Error,
};

struct EventDescription {
    EventNumber number;
    std::string_view name;
    Severity severity;
};

std::span<EventDescription const> event_catalogue();
EventDescription const& describe(EventNumber);

}
