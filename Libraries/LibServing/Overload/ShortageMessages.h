/*
 * Copyright (c) 2026, the lilactiller developers
 *
 * SPDX-License-Identifier: BSD-2-Clause
 */

#pragma once

#include <LibServing/ServingContext.h>
#include <LibWire/Messages.h>

namespace Serving {

/// Records a sign of a shortage that this host has observed, and tells its domain if the shortage begins with it.
void record_shortage_sign(ServingContext&, ServiceName const&, u32 priority);

/// To be called regularly; logs the shortages that have ended.
void update_shortages(ServingContext&);

/// Adds the shortages of which this host, or its domain, has observed recent signs.
void put_shortages(wire::HostUse&, ServingContext&, Overload::SignScope);

/// Adds what organisations have had of the services with a shortage.
void put_organisation_use(wire::HostUse&, ServingContext&, Overload::SignScope);

/// Applies the shortages and the use by organisations that another host of this domain reports, or another domain as a
/// whole. A `reporter` that is a domain has the domain's name.
void apply_shortages(ServingContext&, MemberId const& reporter, Overload::SignScope, wire::HostUse const&);

}
