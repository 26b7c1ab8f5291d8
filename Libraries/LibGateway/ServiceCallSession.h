/*
 * Copyright (c) 2026, the lilactiller developers
 *
 * SPDX-License-Identifier: BSD-2-Clause
 */

#pragma once

#include <LibDelivery/DispatchRecord.h>
#include <LibGateway/GatewayLoop.h>
#include <LibGateway/GatewaySettings.h>
#include <Poco/Net/HTTPServerResponse.h>

namespace Gateway {

/// Serves one plain-service call on its connection thread.
class ServiceCallSession {
public:
    ServiceCallSession(GatewayLoop&, GatewaySettings const&);

    /// Serves the call until its final response.
    void serve(std::shared_ptr<ServiceCall> const&, Poco::Net::HTTPServerResponse&);

private:
    GatewayLoop& gateway;
    GatewaySettings const& settings;
};

}
