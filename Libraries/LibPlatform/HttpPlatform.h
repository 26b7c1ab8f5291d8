/*
 * Copyright (c) 2026, the lilactiller developers
 *
 * SPDX-License-Identifier: BSD-2-Clause
 */

#pragma once

#include <LibPlatform/HttpCall.h>
#include <LibPlatform/TableStore.h>

namespace Platform {

/// Client of the platform's table service, object store and list of backend servers over HTTP. Calls block. Each call
/// uses its own connection, so calls from several threads are safe.
class HttpPlatform {
public:
    HttpPlatform(Address address, Duration timeout);

    Result<Row> read(std::string const& key);
    Result<std::vector<Row>> scan(std::string const& prefix, std::string const& after, size_t limit);
    Result<CommitResult> commit(Transaction const&);
    Result<void> put_object(std::string const& name, std::string const& body);
    Result<std::string> get_object(std::string const& name);
    /// Returns the backend servers of one failure domain that the platform lists.
    Result<std::vector<BackendServerRecord>> list_backend_servers(FailureDomainId const&);

private:
    Address address;
    Duration timeout;
};

static_assert(TableStore<HttpPlatform> && ObjectStore<HttpPlatform>);

}
