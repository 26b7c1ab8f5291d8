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

/// One entry host: its process, and the links to the platform and from the other hosts.
struct HostInstance {
    std::string name;
    std::string domain;
    Http::tcp::endpoint callers;
    Http::tcp::endpoint readiness;
    /// For a caller whose bodies come later than their heads. Nothing else is done to it.
    std::unique_ptr<FaultProxy> slow_caller_link;
    std::unique_ptr<FaultProxy> platform_link;
    std::unique_ptr<DatagramProxy> peer_link;
    std::unique_ptr<Daemon> daemon;
    std::string settings_path;
    /// A planned stop is under way since.
    std::optional<Instant> stopping_since;
    /// The soak itself ends the process or keeps it down, so that its end is no finding.
    bool is_end_expected { false };
    /// In the process's present life.
    bool was_killed { false };
    Instant frozen_until {};
    /// Faults that touch this host last until.
    Instant affected_until {};
};

/// A limit that a backend server names, and what has reached it since every host can have heard of that.
struct NamedLimit {
    double per_second { 0 };
    Instant since {};
    /// Of hosts that nothing has harmed meanwhile.
    std::vector<Instant> arrivals;
};

/// One backend server and the link that all hosts reach it by.
struct RunnerInstance {
    std::string id;
    std::string service;
    std::string domain;
    std::unique_ptr<FaultProxy> link;
    std::unique_ptr<StandIn::PlatformRunner> runner;
    /// The store has taken that it leaves.
    std::optional<Instant> leaving_since;
    bool has_ended { false };
    Instant ended_at {};
    /// Was told to, some time; the next requests that reach it get what it was told.
    bool corrupts_responses { false };
    Instant affected_until {};
    std::optional<NamedLimit> limit;
};

struct DeploymentSize {
    u32 domains { 2 };
    u32 hosts_per_domain { 2 };
    u32 engines { 4 };
    u32 plain_servers { 3 };
};

/// The system under test with what surrounds it: real processes of the product, and on the soak's own loop the
/// platform's store, backend servers, and the links between all of them.
class Deployment {
public:
    Deployment(Http::asio::io_context&, PromiseChecker&, DeploymentSize, std::string program, std::string directory);

    void start();
    /// To be called all the time. Makes events, notes what runs where, and looks for processes that have ended.
    void tick();

    // --- hosts
    std::vector<std::unique_ptr<HostInstance>> hosts;
    /// Does nothing while it runs. Throws std::system_error when it cannot be started.
    void start_host(HostInstance&);
    void kill_host(HostInstance&);
    void stop_host(HostInstance&);
    /// Halts the process for this long; counts as no harm in itself.
    void freeze_host(HostInstance&, Duration);
    /// Writes the settings file anew; `ratio` is a setting that can change while the process runs.
    void write_settings(HostInstance const&, double ratio) const;
    /// Faults touch the host from now on for this long.
    void mark_affected(HostInstance&, Duration);
    void mark_all_affected(Duration);
    /// Neither the host nor its links have been harmed since `instant`.
    [[nodiscard]] static bool is_unaffected_since(HostInstance const& host, Instant instant)
    {
        return host.affected_until < instant;
    }
    /// The same, for what begins at `instant`, which may still feel faults of shortly before.
    [[nodiscard]] static bool is_unaffected_with_margin(HostInstance const& host, Instant instant)
    {
        return is_unaffected_since(host, instant - fault_margin);
    }

    // --- backend servers
    std::list<RunnerInstance> runners;
    RunnerInstance& add_runner(std::string const& service, std::string const& domain);
    /// Says that it leaves, and when it will end.
    void drain(RunnerInstance&, Duration time_left);
    /// Takes its row off the list for good; from then on it counts as leaving.
    void remove_row(RunnerInstance&);
    void put_row(RunnerInstance const&);
    /// Writes its entry in its place.
    void put_entry(RunnerInstance const&, std::string const& value);
    /// Names a limit in its answers from now on; until heal() or its end.
    static void advertise_limit(RunnerInstance&, double per_second);
    static void withdraw_limit(RunnerInstance&);
    /// Turns every request away from now on and asks its host for so long without any.
    void reject_all(RunnerInstance&, Duration back_off);
    static void accept_again(RunnerInstance&);
    /// Breaks its connections; its row stays.
    void end_runner(RunnerInstance&);
    /// Those that take work, of one service.
    [[nodiscard]] std::vector<RunnerInstance*> serving(std::string const& service);

    // --- platform
    /// See UsersPlatform::backend_table in platform/UsersPlatform.h.
    static constexpr auto servers_table = "servers";
    Http::tcp::endpoint const store_endpoint;
    StandIn::PlatformStore store;
    Configuration configuration;
    /// When each version of the configuration was taken by the store, by number.
    std::map<u64, Instant> version_times;
    void put_configuration();

    [[nodiscard]] std::string const& domain(size_t index) const
    {
        return this->domains.at(index % this->domains.size());
    }
    /// Of all backend servers there have been, by attempt.
    [[nodiscard]] std::map<std::string, u32> runs() const;
    /// Whether what an engine did, or what was done to it, can have ended a stream that was under way since `instant`.
    /// Leaving alone cannot: streams move.
    [[nodiscard]] bool engine_may_have_interrupted(std::string const& attempt, Instant instant) const;
    /// Null when no host has the name.
    [[nodiscard]] HostInstance const* find_host(std::string const& name) const;
    [[nodiscard]] static Instant now() { return AK::BootClock::now(); }

    // Settings of the hosts: none longer than its default, so that a run of seconds meets their ends.
    static constexpr Duration stop_grace = 5s;
    static constexpr Duration drain_time = 800ms;
    static constexpr Duration list_recovery_time = 2s;
    /// How shortly before an event faults may still be felt by it; chosen, on top of FaultSchedule::aftermath.
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
