/*
 * Copyright (c) 2026, the lilactiller developers
 *
 * SPDX-License-Identifier: BSD-2-Clause
 */

#pragma once

#include <LibCore/Settings.h>
#include <LibPlatform/ChangeFollower.h>
#include <LibServing/RetryBudget.h>

namespace Serving {

/// Settings of a HostServer; Base/host.yaml explains each.
struct HostSettings {
    MemberId host;
    FailureDomainId failure_domain;
    Address callers_listen;
    Address readiness_listen;
    /// Empty: no metrics are served.
    std::optional<Address> metrics_listen;
    Address platform;
    /// Where this process listens for the other entry hosts.
    Address peer_listen;
    /// Where the other entry hosts reach it; differs from the above behind a port forwarder.
    Address peer_address;
    /// Time between the signal to stop and the end of the process.
    Duration stop_grace { 8s };
    /// How long a backend server goes on after it has said that it leaves.
    Duration drain_time { 2s };
    /// The longest time for which a backend server can ask this host to send it nothing.
    Duration max_back_off { 1h };
    RetryBudget::Limits retry_budget {};
    /// Reclaimed engines leave in groups, whose changes the pause puts into one call; it is a thirtieth of the shortest
    /// notice. News reach a domain of 59 hosts in some 10 ms, so that what has not come after the patience is lost.
    Platform::FollowerTiming follower { .delay_after_changes = 50ms, .peer_update_timeout = 400ms };
    /// How long entries that lapsed while the platform was away may take to come back.
    Duration list_recovery_time { 2s };
    u32 random_seed { 1 };
};

HostSettings read_host_settings(Core::SettingsReader&);

}
