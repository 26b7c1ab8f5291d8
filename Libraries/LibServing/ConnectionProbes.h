/*
 * Copyright (c) 2026, the lilactiller developers
 *
 * SPDX-License-Identifier: BSD-2-Clause
 */

#pragma once

#include <LibServing/ServingContext.h>
#include <map>
#include <string>

namespace Serving {

/// Tests by single connections whether servers accept connections again: the servers of services that are out of reach,
/// and those of doubtful failure domains. So no request of a caller has to find out. There is one probe at a time for
/// each service and domain. Each host probes for itself what is out of its reach. A doubtful domain is probed by one of
/// the hosts that can reach each other, which tells the others.
class ConnectionProbes {
public:
    explicit ConnectionProbes(ServingContext& context)
        : context(context)
    {
    }

    /// Starts the probes that are due.
    void tick();

private:
    /// A domain or link that works again is noticed within this time and the time of one connection attempt.
    static constexpr Duration period = 250ms;

    struct Probe {
        bool is_in_flight { false };
        Instant next_at {};
    };

    void probe_service(ServiceName const&);
    void probe_doubtful(Overload::ServerGroup const&);
    void probe(Overload::ServerGroup const&);
    void probed(std::string const& subject, BackendPointer const&, ProcessState);

    ServingContext& context;
    std::map<std::string, Probe> probes;
    Core::HandlerGuard guard;
};

}
