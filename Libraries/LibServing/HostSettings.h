/*
 * Copyright (c) 2026, the lilactiller developers
 *
 * SPDX-License-Identifier: BSD-2-Clause
 */

#pragma once

#include <LibCore/Settings.h>
#include <LibPlatform/ChangeFollower.h>
#include <LibRollout/Rollout.h>
#include <LibServing/RetryBudget.h>
#include <map>

namespace Serving {

/// Settings of a HostServer; Base/host.yaml describes each.
struct HostSettings {
    MemberId host;
    FailureDomainId failure_domain;
    Address callers_listen;
    Address readiness_listen;
    /// Empty if no metrics are served.
    std::optional<Address> metrics_listen;
    Address platform;
    /// Address at which this process listens for the other entry hosts.
    Address peer_listen;
    /// Address that is announced to the other entry hosts; differs from `peer_listen` behind a port forwarder.
    Address peer_address;
    /// Processor cores that this host may use.
    double cores { 0 };
    /// Bandwidth of its link, in megabits per second; 0 if unknown.
    double link_megabits_per_second { 0 };
    /// Memory that this host may use; 0 if unknown. Bounds the responses that callers have not read yet.
    u64 memory_bytes { 0 };
    /// Maximum time from the stop signal to the end of the process.
    Duration stop_grace { 8s };
    /// Time for which a backend server continues to run after it has reported that it is leaving.
    Duration drain_time { 2s };
    /// Maximum backoff that a backend server can request from this host.
    Duration max_back_off { 1h };
    RetryBudget::Limits retry_budget {};
    /// Bounds on what a bad version may get during a roll-out.
    Rollout::ExposureLimits exposure {};
    /// The region of each failure domain.
    std::map<FailureDomainId, RegionId> regions {};
    /// Port forwarders through which this host connects to backend servers, by the servers' addresses. Only tests set
    /// it, to partition a single host.
    std::map<Address, Address> server_forwarders {};
    /// Reclaimed engines leave in groups. With `delay_after_changes`, one call returns all their changes; it is a
    /// thirtieth of the shortest notice. Updates reach all 59 hosts of a failure domain within about 10 ms, so an
    /// update that has not arrived after `peer_update_timeout` is lost.
    Platform::FollowerTiming follower { .delay_after_changes = 50ms, .peer_update_timeout = 400ms };
    /// Time that entries which expired while the platform was unavailable may take to reappear.
    Duration list_recovery_time { 2s };
    u32 random_seed { 1 };
};

/// Class of a host by its processor and link, in powers of two, so that small differences do not matter. The weaker of
/// both decides.
u32 strength_of(HostSettings const&);

/// Bandwidth of the host's link, in each direction; 0 if unknown.
double link_bytes_per_second(HostSettings const&);

HostSettings read_host_settings(Core::SettingsReader&);

}
