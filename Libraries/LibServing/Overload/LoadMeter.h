/*
 * Copyright (c) 2026, the lilactiller developers
 *
 * SPDX-License-Identifier: BSD-2-Clause
 */

#pragma once

#include <LibHttp/Traffic.h>
#include <LibServing/ServingContext.h>

namespace Serving {

/// Measures this host's own load at each tick of its event loop, and logs it once a second while there is something to
/// see.
class LoadMeter {
public:
    /// `callers`: what the connections of callers and other hosts to this one have carried.
    LoadMeter(ServingContext&, std::shared_ptr<Http::Traffic const> callers);

    /// `lateness`: how late the tick runs.
    void record(Duration lateness);

private:
    static constexpr Duration report_period = 1s;
    /// A fifth of the shortest latency goal of a plain call (100 ms).
    static constexpr Duration reported_lateness = 20ms;
    static constexpr double reported_link_use = 0.5;
    /// Connecting takes about a millisecond within a failure domain and some ten between regions.
    static constexpr Duration reported_connect_time = 50ms;

    void report(Instant now);

    ServingContext& context;
    std::shared_ptr<Http::Traffic const> callers;
    std::shared_ptr<Http::Traffic const> servers;
    /// As of the last report.
    Http::Traffic callers_before;
    Http::Traffic servers_before;
    Instant next_report_at {};
};

}
