/*
 * Copyright (c) 2026, the lilactiller developers
 *
 * SPDX-License-Identifier: BSD-2-Clause
 */

#pragma once

#include <Tests/Soak/BackgroundFaults.h>

namespace Soak {

/// The faults of a seed, all drawn in advance. Each begins at its own time, so that faults may overlap, ends by itself,
/// and marks the hosts and servers that it may affect, and for how long.
class FaultSchedule {
public:
    /// Draws `count` faults that begin within `length` of start().
    FaultSchedule(Http::asio::io_context&, Deployment&, u32 seed, u32 count, Duration length);

    void start();
    /// Ends all current faults and begins no further ones.
    void heal();
    /// A fault may have effects for this long after its end, on a busy machine.
    static constexpr Duration aftermath = 5s;

private:
    using Begin = void (FaultSchedule::*)();
    struct Entry {
        Duration at { 0 };
        Begin begin { nullptr };
    };

    /// The kinds of faults that a seed draws from; each mix also has the background faults. The less a mix affects, the
    /// more of the checks that need an unaffected host apply.
    enum class Mix : u8 {
        /// Planned work only: stops, changes of settings and configuration, backend servers that leave.
        Planned,
        /// Also backend servers that crash, break connections or corrupt responses.
        Responses,
        Everything,
    };
    static constexpr u32 mix_count = 3;
    [[nodiscard]] static std::vector<Begin> kinds_of(Mix);

    // Faults of processes.
    void kill_host();
    void kill_all_after_change();
    void stop_host();
    void freeze_host();
    void reload_host();
    // Faults of the platform.
    void platform_busy();
    void platform_silent();
    void platform_loses_history();
    void platform_stale();
    void expire_entries();
    void change_configuration();
    // Faults of links.
    void block_platform_link();
    void delay_platform_link();
    void reset_platform_link();
    void block_peer_link();
    void delay_peer_link();
    void isolate_domain();
    void impair_runner_link();
    void reset_runner_link();
    // Faults of backend servers.
    void crash_runner();
    void drain_runner();
    void unlist_runner();
    void corrupt_responses();

    void begin_platform_mode(StandIns::PlatformStore::Mode, std::string const& what);
    /// Schedules the healing of a link and returns it; the function's caller impairs it.
    template<typename Link>
    Link& impair_link(HostInstance&, Link&, std::string const& what);
    void restart_later(HostInstance&);
    void schedule_termination(RunnerInstance&, Duration time_left);
    /// Does nothing once heal() has been called.
    void after(Duration, std::function<void()>);
    [[nodiscard]] HostInstance& draw_host();
    /// Null if the service would be left with too few backend servers.
    [[nodiscard]] RunnerInstance* draw_runner();
    [[nodiscard]] u32 draw_number(u32 below);
    [[nodiscard]] Duration draw_duration(Duration min, Duration max);
    [[nodiscard]] Duration draw_fault_duration();
    [[nodiscard]] FaultProxy::Direction draw_direction();
    void log_fault(std::string const& what) const;

    Http::asio::io_context& loop;
    Deployment& deployment;
    boost::random::mt19937 random;
    BackgroundFaults background_faults;
    std::vector<Entry> entries;
    Instant started_at {};
    bool is_over { false };
};

}
