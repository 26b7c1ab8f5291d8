/*
 * Copyright (c) 2026, the lilactiller developers
 *
 * SPDX-License-Identifier: BSD-2-Clause
 */

#pragma once

#include <StandIns/PlatformRunner/PlatformRunner.h>
#include <StandIns/PlatformStore/PlatformStore.h>
#include <Tests/Soak/Daemon.h>
#include <Tests/Soak/DatagramProxy.h>
#include <Tests/Soak/FaultProxy.h>
#include <Tests/Soak/NoticeChecker.h>
#include <Tests/Soak/PromiseChecker.h>
#include <boost/random/mersenne_twister.hpp>
#include <list>
#include <memory>

namespace Soak {

/// One entry host: its process, its link to the platform and its link from the other hosts.
struct HostInstance {
    std::string name;
    std::string domain;
    Http::tcp::endpoint callers;
    Http::tcp::endpoint readiness;
    /// Link of the caller that sends bodies later than heads. No other fault is injected there.
    std::unique_ptr<FaultProxy> slow_caller_link;
    std::unique_ptr<FaultProxy> platform_link;
    std::unique_ptr<DatagramProxy> peer_link;
    std::unique_ptr<Daemon> daemon;
    std::string settings_path;
    /// Start of the planned stop in progress.
    std::optional<Instant> stopping_since;
    /// The soak itself terminates the process or keeps it down, so that its exit is no violation.
    bool is_exit_expected { false };
    /// The soak has killed the current incarnation of the process.
    bool was_killed { false };
    Instant frozen_until {};
    /// End of the faults that affect this host, including their aftermath.
    Instant affected_until {};
};

/// A limit that a backend server advertises, and the requests that the server has got since all hosts can have received
/// the limit.
struct AdvertisedLimit {
    double per_second { 0 };
    Instant since {};
    /// Requests from hosts that no fault has affected since then.
    std::vector<Instant> arrivals;
};

/// One backend server and the link by which all hosts reach it.
struct RunnerInstance {
    std::string id;
    std::string service;
    std::string domain;
    std::unique_ptr<FaultProxy> link;
    std::unique_ptr<StandIns::PlatformRunner> runner;
    /// When its row in the store was set to leaving or was removed.
    std::optional<Instant> leaving_since;
    bool is_terminated { false };
    Instant terminated_at {};
    /// Faults of single requests have been added at some time. The server applies them to the next requests that it
    /// gets.
    bool corrupts_responses { false };
    Instant affected_until {};
    std::optional<AdvertisedLimit> limit;
};

struct DeploymentSize {
    u32 domains { 2 };
    u32 hosts_per_domain { 2 };
    u32 engines { 4 };
    u32 plain_servers { 3 };
};

/// The system under test and its environment: real processes of the product, and on the soak's own event loop the
/// platform's store, the backend servers and all links between them.
class Deployment {
public:
    Deployment(Http::asio::io_context&, PromiseChecker&, DeploymentSize, std::string program, std::string directory);

    void start();
    /// Must be called periodically. Emits events, records what runs on each engine, and detects processes that have
    /// exited.
    void tick();

    // --- hosts
    std::vector<std::unique_ptr<HostInstance>> hosts;
    /// Does nothing if the host is running. Throws std::system_error when it cannot be started.
    void start_host(HostInstance&);
    void kill_host(HostInstance&);
    void stop_host(HostInstance&);
    /// Halts the process for this long. This alone does not mark the host as affected by a fault.
    void freeze_host(HostInstance&, Duration);
    /// Rewrites the settings file; `ratio` is a setting that can change while the process runs.
    void write_settings(HostInstance const&, double ratio) const;
    /// Records that faults affect the host from now on for this long.
    void mark_affected(HostInstance&, Duration);
    void mark_all_affected(Duration);
    /// No fault has affected the host or its links since `instant`.
    [[nodiscard]] static bool is_unaffected_since(HostInstance const& host, Instant instant)
    {
        return host.affected_until < instant;
    }
    /// The same for an event that begins at `instant` and may still be affected by faults shortly before it.
    [[nodiscard]] static bool is_unaffected_with_margin(HostInstance const& host, Instant instant)
    {
        return is_unaffected_since(host, instant - fault_margin);
    }

    // --- backend servers
    std::list<RunnerInstance> runners;
    RunnerInstance& add_runner(std::string const& service, std::string const& domain);
    /// The server announces that it leaves, and when it will terminate.
    void drain(RunnerInstance&, Duration time_left);
    /// Removes its row from the list permanently; from then on it counts as leaving.
    void remove_row(RunnerInstance&);
    void put_row(RunnerInstance const&);
    /// Overwrites its entry.
    void put_entry(RunnerInstance const&, std::string const& value);
    /// From now on the server advertises a limit in its responses, until withdraw_limit() or its termination.
    static void advertise_limit(RunnerInstance&, double per_second);
    static void withdraw_limit(RunnerInstance&);
    /// From now on the server rejects every request and requests this back-off from its host.
    void reject_all(RunnerInstance&, Duration back_off);
    static void accept_again(RunnerInstance&);
    /// Breaks its connections; its row stays.
    void terminate_runner(RunnerInstance&);
    /// The backend servers of a service that accept work.
    [[nodiscard]] std::vector<RunnerInstance*> serving(std::string const& service);

    // --- platform
    /// See UsersPlatform::backend_table in platform/UsersPlatform.h.
    static constexpr auto servers_table = "servers";
    Http::tcp::endpoint const store_endpoint;
    StandIns::PlatformStore store;
    Configuration configuration;
    /// When the store accepted each version of the configuration, by number.
    std::map<u64, Instant> version_times;
    void put_configuration();

    [[nodiscard]] std::string const& domain(size_t index) const
    {
        return this->domains.at(index % this->domains.size());
    }
    /// Number of runs of each attempt, over all backend servers so far.
    [[nodiscard]] std::map<std::string, u32> runs() const;
    /// Whether an engine, or a fault at one, can have interrupted a stream that was in progress since `instant`. An
    /// engine that only leaves cannot: its streams move to another one.
    [[nodiscard]] bool engine_may_have_interrupted(std::string const& attempt, Instant instant) const;
    /// Null when no host has the name.
    [[nodiscard]] HostInstance const* find_host(std::string const& name) const;
    [[nodiscard]] static Instant now() { return AK::BootClock::now(); }

    // Settings of the hosts. None is longer than its default, so that they expire within a run of seconds.
    static constexpr Duration stop_grace = 5s;
    static constexpr Duration drain_time = 800ms;
    static constexpr Duration list_recovery_time = 2s;
    /// A fault may affect an event that begins up to this long after it, in addition to FaultSchedule::aftermath.
    static constexpr Duration fault_margin = 3s;

private:
    void make_host(std::string const& domain, u32 number);
    [[nodiscard]] bool was_moved(std::string const& attempt) const;
    void check_leaving(RunnerInstance const&, std::string const& attempt);
    void check_limit(RunnerInstance&, std::string const& attempt);
    void check_notices(RunnerInstance const&, std::string const& attempt);
    void check_process(HostInstance&);

    Http::asio::io_context& loop;
    PromiseChecker& checker;
    NoticeChecker notices { drain_time };
    DeploymentSize size;
    std::string program;
    std::string directory;
    std::vector<std::string> domains;
    u32 runner_count { 0 };
};

}
